#pragma once

#include <deque>
#include <string>
#include <unordered_map>

#include "Common/Ids.h"

namespace Node {

/// Payloads of the jobs whose tasks were last started over one connection. The agent keeps the
/// payloads, and the coordinator keeps the same jobs with empty payloads, so that it sends the
/// payload of a job once. Both sides keep them in the order of the start orders and drop the oldest
/// ones, so that they always agree.
struct KeptPayloads
{
  /// Payloads have up to Scheduling::kMaxPayloadBytes, so that an agent keeps 256 KB at most.
  static constexpr std::size_t kMaxJobs = 64;

  std::unordered_map<Common::JobId, std::string> mPayloads;
  std::deque<Common::JobId> mOldestFirst;
};

/// Keeps the payload of a job that is not kept yet.
inline void
KeepPayload(KeptPayloads& aKept, const Common::JobId& aJob, const std::string& aPayload)
{
  if (!aKept.mPayloads.try_emplace(aJob, aPayload).second) {
    return;
  }
  aKept.mOldestFirst.push_back(aJob);
  if (aKept.mOldestFirst.size() > KeptPayloads::kMaxJobs) {
    aKept.mPayloads.erase(aKept.mOldestFirst.front());
    aKept.mOldestFirst.pop_front();
  }
}

} // namespace Node
