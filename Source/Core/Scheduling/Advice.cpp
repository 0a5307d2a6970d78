#include <algorithm>
#include <cmath>

#include "Scheduling/Schedule.h"

namespace Scheduling {

namespace {

/// Weight of one answer in the average of the granted share.
constexpr double kShareLearningRate = 0.1;
/// Lower bound of the granted share, which limits the number of workers named for each task.
constexpr double kMinGrantedShare = 0.05;

Step*
FindStep(SchedulerState& aState, const TaskName& aName)
{
  const auto ref = FindTask(aState, aName);
  return ref ? &StepAt(*ref) : nullptr;
}

/// Returns a connected agent without an open request, because the service accepts one call of each
/// machine at a time. Empty if there is none.
Common::InstanceId
FindIdleAgent(const SchedulerState& aState, const Now& aNow)
{
  std::set<Common::InstanceId> busy;
  for (const auto& [number, request] : aState.mOpenAdviceRequests) {
    busy.insert(request.mAgent);
  }
  const std::size_t count = aState.mWorkers.size();
  for (std::size_t i = 0; i < count; ++i) {
    // The search starts at another worker for each request, so that an agent with a slow connection
    // delays few of them.
    const Worker& worker =
      aState.mWorkers[(static_cast<std::size_t>(aState.mNextAdviceRequest) + i) % count];
    const auto pausedUntil = aState.mAdvicePausedUntil.find(worker.mAgent);
    const bool paused =
      pausedUntil != aState.mAdvicePausedUntil.end() && aNow.mTime < pausedUntil->second;
    if (worker.mConnected && !paused && !busy.contains(worker.mAgent)) {
      return worker.mAgent;
    }
  }
  return {};
}

} // namespace

bool
HasTicket(const Step& aStep, WorkerNumber aWorker, const Now& aNow)
{
  const auto found = aStep.mTickets.find(aWorker);
  return found != aStep.mTickets.end() && !found->second.mText.empty() &&
         aNow.mTime < found->second.mUsableUntil;
}

bool
IsDenied(const Step& aStep, WorkerNumber aWorker)
{
  const auto found = aStep.mTickets.find(aWorker);
  return found != aStep.mTickets.end() && found->second.mText.empty();
}

void
RequestAdvice(SchedulerState& aState,
              const TaskRef& aFirstTask,
              const AdviceTimes& aTimes,
              std::span<const WorkerNumber> aWorkers,
              const Now& aNow)
{
  Step& step = StepAt(aFirstTask);
  const Common::InstanceId agent = FindIdleAgent(aState, aNow);
  if (step.mAdviceRequested || aWorkers.empty() || agent.empty()) {
    return;
  }
  // Each worker named delays the answer, and a worker with capacity for a single task counts as
  // well, so only as many are named as are likely needed.
  const auto needed = static_cast<std::size_t>(
    std::ceil(step.mWaitingTasks / std::max(aState.mGrantedShare, kMinGrantedShare)));
  const std::size_t asked = std::min({ aWorkers.size(),
                                       std::max(needed, aState.mPolicy.mMinWorkersPerRequest),
                                       aState.mPolicy.mMaxWorkersPerRequest });
  AdviceRequest request;
  request.mNumber = aState.mNextAdviceRequest++;
  request.mStep = NameOf(aFirstTask);
  request.mAgent = agent;
  for (const WorkerNumber worker : aWorkers.first(asked)) {
    request.mWorkers.push_back(aState.mWorkers[worker].mLifetime);
  }
  request.mDeadline = aNow.mTime + aTimes.mDecisionTime +
                      aTimes.mTimePerWorker * static_cast<int>(asked) +
                      aState.mPolicy.mAdviceTimeoutSlack;
  step.mAdviceRequested = true;
  ++aState.mCounts.mAdviceRequests;
  aState.mLogEntries.push_back({ "advice asked",
                                 request.mStep.mJob,
                                 std::to_string(request.mStep.mOccurrence) + '.' +
                                   std::to_string(request.mStep.mStep) + " question " +
                                   std::to_string(request.mNumber) + " by " + agent.str() +
                                   ", workers " + std::to_string(asked) });
  aState.mOpenAdviceRequests.emplace(request.mNumber, request);
  aState.mAdviceRequests.push_back(std::move(request));
}

void
ApplyAdvice(SchedulerState& aState,
            std::int64_t aRequest,
            const std::optional<Advice>& aAdvice,
            const Now& aNow)
{
  const auto found = aState.mOpenAdviceRequests.find(aRequest);
  if (found == aState.mOpenAdviceRequests.end()) {
    return;
  }
  const AdviceRequest request = std::move(found->second);
  aState.mOpenAdviceRequests.erase(found);
  Step* const step = FindStep(aState, request.mStep);
  if (step != nullptr) {
    step->mAdviceRequested = false;
  }
  std::string granted;
  for (const Grant& grant : aAdvice ? aAdvice->mGrants : std::vector<Grant>{}) {
    granted += ' ' + grant.mWorker.str();
  }
  aState.mLogEntries.push_back({ aAdvice ? "advice" : "advice was not given",
                                 request.mStep.mJob,
                                 "question " + std::to_string(aRequest) + " by " +
                                   request.mAgent.str() + ", granted" +
                                   (granted.empty() ? " none" : granted) });
  if (!aAdvice) {
    aState.mAdvicePausedUntil[request.mAgent] = aNow.mTime + aState.mPolicy.mAdvicePause;
    return;
  }
  aState.mAdvicePausedUntil.erase(request.mAgent);
  if (step == nullptr) {
    return;
  }
  const auto job = aState.mJobs.find(request.mStep.mJob);
  const auto queue = aState.mQueues.find(job->second->mSpec.mQueue);
  Duration valid = aAdvice->mTicketLifetime;
  if (valid <= Duration{ 0 } && queue != aState.mQueues.end() && queue->second.mAdvice) {
    valid = queue->second.mAdvice->mTicketLifetime;
  }
  const Timestamp until = aNow.mTime + valid - std::min(valid / 4, aState.mPolicy.mTicketMargin);
  std::map<Common::WorkerId, std::string> grants;
  for (const Grant& grant : aAdvice->mGrants) {
    grants[grant.mWorker] = grant.mTicket;
  }
  std::size_t allowed = 0;
  for (const WorkerLifetime& lifetime : request.mWorkers) {
    const auto worker = aState.mWorkerIndex.find(lifetime);
    if (worker == aState.mWorkerIndex.end()) {
      continue;
    }
    const auto grant = grants.find(lifetime.mWorker);
    allowed += grant != grants.end() ? 1 : 0;
    step->mTickets[worker->second] =
      grant != grants.end() ? Ticket{ grant->second, until } : Ticket{};
  }
  const double share = static_cast<double>(allowed) /
                       static_cast<double>(std::max<std::size_t>(request.mWorkers.size(), 1));
  aState.mGrantedShare += (share - aState.mGrantedShare) * kShareLearningRate;
}

void
ExpireAdviceRequests(SchedulerState& aState, const Now& aNow)
{
  std::vector<std::int64_t> expired;
  for (const auto& [number, request] : aState.mOpenAdviceRequests) {
    if (request.mDeadline <= aNow.mTime) {
      expired.push_back(number);
    }
  }
  for (const std::int64_t number : expired) {
    ApplyAdvice(aState, number, std::nullopt, aNow);
  }
}

} // namespace Scheduling
