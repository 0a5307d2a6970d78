#include "Node/StoreContact.h"

namespace Node {

namespace {

void
RemoveCall(StoreContact& aContact, Timestamp aSent)
{
  const auto found = aContact.mOpenCalls.find(aSent);
  if (found != aContact.mOpenCalls.end()) {
    aContact.mOpenCalls.erase(found);
  }
}

/// True if a call that was sent after the last answer is overdue.
bool
HasOverdueCall(const StoreContact& aContact, Timestamp aNow)
{
  const auto oldest = aContact.mOpenCalls.lower_bound(aContact.mLastAnswer);
  return oldest != aContact.mOpenCalls.end() && aNow - *oldest >= kCallOverdue;
}

} // namespace

void
NoteCall(StoreContact& aContact, Timestamp aNow)
{
  aContact.mOpenCalls.insert(aNow);
}

void
NoteAnswer(StoreContact& aContact, Timestamp aSent, Timestamp aNow)
{
  RemoveCall(aContact, aSent);
  aContact.mLastAnswer = aNow;
  aContact.mTimeouts = 0;
}

void
NoteTimeout(StoreContact& aContact, Timestamp aSent)
{
  RemoveCall(aContact, aSent);
  // If a later call was answered, only this call's answer was lost.
  if (aSent >= aContact.mLastAnswer) {
    ++aContact.mTimeouts;
  }
}

ContactState
StateOf(const StoreContact& aContact, Timestamp aNow)
{
  const bool overdue = HasOverdueCall(aContact, aNow);
  if (aContact.mTimeouts == 0) {
    return overdue ? ContactState::Suspected : ContactState::Answers;
  }
  return aContact.mTimeouts > 1 || overdue ? ContactState::Silent : ContactState::Suspected;
}

} // namespace Node
