#include <algorithm>
#include <cmath>

#include "Scheduling/Schedule.h"

namespace Scheduling {

namespace {

/// Weight of one answer in the average of the granted share.
constexpr double kGrantedShareLearningRate = 0.1;
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
FindIdleAgent(const SchedulerState& aState, const CurrentTime& aNow)
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
      pausedUntil != aState.mAdvicePausedUntil.end() && aNow.mMonotonic < pausedUntil->second;
    if (worker.mConnected && !paused && !busy.contains(worker.mAgent)) {
      return worker.mAgent;
    }
  }
  return {};
}

} // namespace

bool
HasTicket(const Step& aStep, WorkerNumber aWorker, const CurrentTime& aNow)
{
  const auto found = aStep.mTickets.find(aWorker);
  return found != aStep.mTickets.end() && !found->second.mText.empty() &&
         aNow.mMonotonic < found->second.mUsableUntil;
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
              const CurrentTime& aNow)
{
  Step& step = StepAt(aFirstTask);
  const Common::InstanceId agent = FindIdleAgent(aState, aNow);
  if (step.mAdviceRequested || aWorkers.empty() || agent.empty()) {
    return;
  }
  // Each worker named delays the answer, so the request names about as many as are needed for one
  // grant for each waiting task. A worker may have capacity for only one of the tasks.
  const auto needed = static_cast<std::size_t>(
    std::ceil(step.mWaitingTasks / std::max(aState.mGrantedShare, kMinGrantedShare)));
  const std::size_t requestedCount =
    std::min({ aWorkers.size(),
               std::max(needed, aState.mPolicy.mMinWorkersPerRequest),
               aState.mPolicy.mMaxWorkersPerRequest });
  AdviceRequest request;
  request.mNumber = aState.mNextAdviceRequest++;
  request.mStep = NameOf(aFirstTask);
  request.mAgent = agent;
  for (const WorkerNumber worker : aWorkers.first(requestedCount)) {
    request.mWorkers.push_back(aState.mWorkers[worker].mLifetime);
  }
  request.mDeadline = aNow.mMonotonic + aTimes.mDecisionTime +
                      aTimes.mTimePerWorker * static_cast<int>(requestedCount) +
                      aState.mPolicy.mAdviceTimeoutSlack;
  step.mAdviceRequested = true;
  ++aState.mCounts.mAdviceRequests;
  aState.mLogEntries.push_back({ "advice asked",
                                 request.mStep.mJob,
                                 std::to_string(request.mStep.mOccurrence) + '.' +
                                   std::to_string(request.mStep.mStep) + " question " +
                                   std::to_string(request.mNumber) + " by " + agent.str() +
                                   ", workers " + std::to_string(requestedCount) });
  aState.mOpenAdviceRequests.emplace(request.mNumber, request);
  aState.mAdviceRequests.push_back(std::move(request));
}

void
ApplyAdvice(SchedulerState& aState,
            std::int64_t aRequest,
            const std::optional<Advice>& aAdvice,
            const CurrentTime& aNow)
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
  std::string grantedWorkers;
  for (const Grant& grant : aAdvice ? aAdvice->mGrants : std::vector<Grant>{}) {
    grantedWorkers += ' ' + grant.mWorker.str();
  }
  aState.mLogEntries.push_back({ aAdvice ? "advice" : "advice was not given",
                                 request.mStep.mJob,
                                 "question " + std::to_string(aRequest) + " by " +
                                   request.mAgent.str() + ", granted" +
                                   (grantedWorkers.empty() ? " none" : grantedWorkers) });
  if (!aAdvice) {
    aState.mAdvicePausedUntil[request.mAgent] = aNow.mMonotonic + aState.mPolicy.mAdvicePause;
    return;
  }
  aState.mAdvicePausedUntil.erase(request.mAgent);
  if (step == nullptr) {
    return;
  }
  const auto job = aState.mJobs.find(request.mStep.mJob);
  const QueueSpec* const queue = FindQueue(aState, *job->second);
  Duration ticketLifetime = aAdvice->mTicketLifetime;
  if (ticketLifetime <= Duration{ 0 } && queue != nullptr && queue->mAdvice) {
    ticketLifetime = queue->mAdvice->mTicketLifetime;
  }
  const Timestamp usableUntil =
    aNow.mMonotonic + ticketLifetime - std::min(ticketLifetime / 4, aState.mPolicy.mTicketMargin);
  std::map<Common::WorkerId, std::string> grants;
  for (const Grant& grant : aAdvice->mGrants) {
    grants[grant.mWorker] = grant.mTicket;
  }
  std::size_t grantedCount = 0;
  for (const WorkerLifetime& lifetime : request.mWorkers) {
    const auto worker = aState.mWorkerIndex.find(lifetime);
    if (worker == aState.mWorkerIndex.end()) {
      continue;
    }
    const auto grant = grants.find(lifetime.mWorker);
    grantedCount += grant != grants.end() ? 1 : 0;
    step->mTickets[worker->second] =
      grant != grants.end() ? Ticket{ grant->second, usableUntil } : Ticket{};
  }
  const double grantedShare =
    static_cast<double>(grantedCount) /
    static_cast<double>(std::max<std::size_t>(request.mWorkers.size(), 1));
  aState.mGrantedShare += (grantedShare - aState.mGrantedShare) * kGrantedShareLearningRate;
}

void
ExpireAdviceRequests(SchedulerState& aState, const CurrentTime& aNow)
{
  std::vector<std::int64_t> expired;
  for (const auto& [number, request] : aState.mOpenAdviceRequests) {
    if (request.mDeadline <= aNow.mMonotonic) {
      expired.push_back(number);
    }
  }
  for (const std::int64_t number : expired) {
    ApplyAdvice(aState, number, std::nullopt, aNow);
  }
}

} // namespace Scheduling
