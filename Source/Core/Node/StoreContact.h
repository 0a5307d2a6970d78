#pragma once

#include <cstdint>
#include <set>

#include "Common/Clock.h"

namespace Node {

using Common::Duration;
using Common::Timestamp;

/// What an entry knows of one way to the store: its own calls, or those that the coordinator's
/// process makes for it.
struct StoreContact
{
  /// Send times of the calls that have neither been answered nor timed out.
  std::multiset<Timestamp> mOpenCalls;
  Timestamp mLastAnswer;
  /// Calls that were sent after the last answer and timed out.
  std::uint32_t mTimeouts = 0;
};

enum class ContactState
{
  Answers,
  /// A call is overdue, or one timed out; the next answer or timeout tells.
  Suspected,
  /// Several calls in a row got no answer.
  Silent,
};

/// A call without an answer for this long is overdue. A slow store takes up to 500 ms; the others
/// that wait for its answer lose less than that.
constexpr std::chrono::milliseconds kCallOverdue{ 300 };

void
NoteCall(StoreContact& aContact, Timestamp aNow);
/// Any answer counts, also a rejection: the call had a definite result.
void
NoteAnswer(StoreContact& aContact, Timestamp aSent, Timestamp aNow);
void
NoteTimeout(StoreContact& aContact, Timestamp aSent);
ContactState
StateOf(const StoreContact& aContact, Timestamp aNow);

} // namespace Node
