#include <initializer_list>

#include "Bench/Measure.h"
#include "Bench/VirtualServer.h"

using namespace std::chrono_literals;

namespace Bench {

namespace {

using Tables::Urgency;

constexpr double kCapacity = 8;

/// A stream that asks for the given part of the slots.
Stream
Load(Urgency aUrgency, double aOfCapacity, Duration aService, Duration aDeadline)
{
  Stream stream;
  stream.mUrgency = aUrgency;
  stream.mService = aService;
  stream.mDeadline = aDeadline;
  stream.mRate = aOfCapacity * kCapacity / std::chrono::duration<double>(aService).count();
  return stream;
}

double
Rate(std::uint64_t aCount, const Scenario& aScenario)
{
  return static_cast<double>(aCount) / std::chrono::duration<double>(aScenario.mRunTime).count();
}

struct Named
{
  std::string mName;
  PolicyKind mPolicy = PolicyKind::Gate;
  RetryKind mRetries = RetryKind::None;
  bool mIsBaseline = true;
};

const std::vector<Named> kPolicies{
  { "gate", PolicyKind::Gate, RetryKind::None, false },
  { "gate, retry budget", PolicyKind::Gate, RetryKind::Budget, false },
  { "static limit", PolicyKind::StaticLimit, RetryKind::None, true },
  { "first come", PolicyKind::FirstCome, RetryKind::None, true },
  { "first come, unlimited retries", PolicyKind::FirstCome, RetryKind::Unlimited, true },
};

Measure
Bounded(const Named& aPolicy, Measure aMeasure)
{
  aMeasure.mName += " (" + aPolicy.mName + ")";
  if (aPolicy.mIsBaseline) {
    aMeasure.mKind = Bound::Info;
  }
  return aMeasure;
}

/// Urgent requests under a flood of patient ones that asks for ten times the worker.
Measures
PatientFlood(const std::string& aName, Duration aPatientService, int aPhases)
{
  Measures measures;
  for (const Named& policy : kPolicies) {
    Scenario calm;
    calm.mPolicy = policy.mPolicy;
    calm.mRetries = policy.mRetries;
    calm.mMinShares = { { Urgency::Interactive, 50 }, { Urgency::Patient, 20 } };
    calm.mStreams = { Load(Urgency::Interactive, 0.4, 20ms, 500ms) };
    calm.mStreams[0].mPhases = aPhases;
    Scenario flooded = calm;
    flooded.mStreams.push_back(Load(Urgency::Patient, 10, aPatientService, 10s));
    const StreamResult before = RunScenario(calm)[0];
    const std::vector<StreamResult> both = RunScenario(flooded);
    const StreamResult& after = both[0];
    const double left =
      kCapacity * std::chrono::duration<double>(flooded.mRunTime).count() - after.mSlotSeconds;
    measures.push_back(Bounded(policy,
                               { "patient slot-seconds of those left by urgent, " + aName,
                                 "s",
                                 both[1].mSlotSeconds,
                                 left,
                                 Bound::Info,
                                 0 }));
    measures.push_back(Bounded(policy,
                               { "urgent goodput, patient flood, " + aName,
                                 "1/s",
                                 Rate(after.mGood, flooded),
                                 Rate(before.mGood, calm),
                                 Bound::AtLeast,
                                 0.99 }));
    measures.push_back(Bounded(policy,
                               { "urgent p99, patient flood, " + aName,
                                 "us",
                                 static_cast<double>(after.mLatency.quantile(0.99)),
                                 static_cast<double>(before.mLatency.quantile(0.99)),
                                 Bound::AtMost,
                                 1.3 }));
  }
  return measures;
}

/// Patient requests under a flood of urgent ones, against their guaranteed share of the slots.
Measures
UrgentFlood(std::uint32_t aSharePercent)
{
  Measures measures;
  for (const Named& policy : kPolicies) {
    Scenario flooded;
    flooded.mPolicy = policy.mPolicy;
    flooded.mRetries = policy.mRetries;
    flooded.mMinShares = { { Urgency::Patient, aSharePercent } };
    flooded.mStreams = { Load(Urgency::Interactive, 10, 20ms, 500ms),
                         Load(Urgency::Patient, 1, 50ms, 10s) };
    const auto results = RunScenario(flooded);
    const double guaranteed =
      aSharePercent / 100.0 * kCapacity * std::chrono::duration<double>(flooded.mRunTime).count();
    measures.push_back(
      Bounded(policy,
              { "patient slot-seconds, urgent flood, share " + std::to_string(aSharePercent),
                "s",
                results[1].mSlotSeconds,
                guaranteed,
                Bound::AtLeast,
                0.95 }));
  }
  return measures;
}

Measures
OneClass(const std::string& aName, Duration aDeadline, int aPhases)
{
  Measures measures;
  for (const Named& policy : kPolicies) {
    Scenario one;
    // The same baseline for all policies, so that a policy that loses goodput at 1x gains nothing.
    one.mPolicy = PolicyKind::StaticLimit;
    one.mStreams = { Load(Urgency::Standard, 0.9, 20ms, aDeadline) };
    one.mStreams[0].mPhases = aPhases;
    const StreamResult before = RunScenario(one)[0];
    one.mPolicy = policy.mPolicy;
    one.mRetries = policy.mRetries;
    const StreamResult own = RunScenario(one)[0];
    Scenario ten = one;
    ten.mStreams[0].mRate *= 10;
    measures.push_back(Bounded(policy,
                               { "goodput at 1x of one class, " + aName,
                                 "1/s",
                                 Rate(own.mGood, one),
                                 Rate(before.mGood, one),
                                 Bound::Info,
                                 0 }));
    const StreamResult after = RunScenario(ten)[0];
    measures.push_back(Bounded(policy,
                               { "goodput at 10x of one class, " + aName,
                                 "1/s",
                                 Rate(after.mGood, ten),
                                 Rate(before.mGood, one),
                                 Bound::AtLeast,
                                 0.95 }));
  }
  return measures;
}

/// An endpoint that offers 32 slots but slows down above 8 requests in progress.
Measures
SlowingEndpoint()
{
  Scenario best;
  best.mPolicy = PolicyKind::StaticLimit;
  best.mStreams = { Load(Urgency::Standard, 3, 20ms, 500ms) };
  const double reached = Rate(RunScenario(best)[0].mGood, best);
  Measures measures;
  for (const Named& policy : kPolicies) {
    Scenario slowing = best;
    slowing.mPolicy = policy.mPolicy;
    slowing.mRetries = policy.mRetries;
    slowing.mEndpoint = { 32, 8 };
    slowing.mWarmUp = 30s;
    const StreamResult result = RunScenario(slowing)[0];
    // No target of the design page; shown against the best fixed limit.
    measures.push_back(Bounded(policy,
                               { "goodput, endpoint slows above 8 of 32 slots",
                                 "1/s",
                                 Rate(result.mGood, slowing),
                                 reached,
                                 Bound::Info,
                                 0 }));
  }
  return measures;
}

/// A client that asks little beside one of the same class that asks for ten times the worker.
Measures
ClientFlood()
{
  Measures measures;
  for (const Named& policy : kPolicies) {
    Scenario calm;
    calm.mPolicy = policy.mPolicy;
    calm.mRetries = policy.mRetries;
    calm.mStreams = { Load(Urgency::Standard, 0.3, 20ms, 500ms) };
    Scenario flooded = calm;
    flooded.mStreams.push_back(Load(Urgency::Standard, 10, 20ms, 500ms));
    flooded.mStreams[1].mClient = "flooding client";
    const double before = Rate(RunScenario(calm)[0].mGood, calm);
    const double after = Rate(RunScenario(flooded)[0].mGood, flooded);
    measures.push_back(Bounded(
      policy,
      { "goodput beside a flooding client of its class", "1/s", after, before, Bound::Info, 0 }));
  }
  return measures;
}

Measures
Joined(std::initializer_list<Measures> aParts)
{
  Measures all;
  for (const Measures& part : aParts) {
    all.insert(all.end(), part.begin(), part.end());
  }
  return all;
}

const Registration kPatientFlood("admission/a", [] {
  return Joined({ PatientFlood("equal service", 20ms, 2),
                  PatientFlood("5x service", 100ms, 2),
                  PatientFlood("5x service, steady", 100ms, 16) });
});
const Registration kUrgentFlood("admission/b", [] {
  return Joined({ UrgentFlood(20), UrgentFlood(8) });
});
const Registration kOneClass("admission/c", [] {
  return Joined({ OneClass("deadline 500 ms", 500ms, 2),
                  OneClass("deadline 100 ms", 100ms, 2),
                  OneClass("deadline 500 ms, exponential", 500ms, 1) });
});
const Registration kSlowing("admission/d", SlowingEndpoint);
const Registration kClientFlood("admission/e", ClientFlood);

} // namespace

} // namespace Bench
