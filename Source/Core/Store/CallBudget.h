#pragma once

#include <array>
#include <mutex>

#include "Common/Clock.h"
#include "Common/Random.h"
#include "Store/StorePort.h"

/// Limits on the store calls of one process, by purpose, and the waiting after failures.
namespace Store {

/// What a call is for, in falling order of importance.
enum class Purpose
{
  /// Lease renewal, cell records.
  Ownership,
  Tables,
  Jobs,
  Progress,
};
constexpr std::size_t kPurposes = 4;

struct CallRate
{
  /// Calls a second; watches and reads count like writes.
  double mPerSecond = 1;
  double mBurst = 1;
};

/// Token buckets by purpose. A purpose whose bucket is empty may take from the shared bucket, but
/// never the tokens of another purpose.
struct CallBudget
{
  struct Bucket
  {
    CallRate mRate;
    double mTokens = 0;
  };

  std::array<Bucket, kPurposes> mOwn;
  Bucket mShared;
  Common::Timestamp mFilled;
  std::array<std::uint64_t, kPurposes> mTaken{};
  std::array<std::uint64_t, kPurposes> mRefused{};
};

/// A budget with full buckets.
CallBudget
MakeCallBudget(const std::array<CallRate, kPurposes>& aOwn,
               CallRate aShared,
               Common::Timestamp aNow);

/// Takes one call out of the budget; false if the call must wait.
bool
TakeCall(CallBudget& aBudget, Purpose aPurpose, Common::Timestamp aNow);

struct BackOffSettings
{
  Common::Duration mFirst{ std::chrono::milliseconds(200) };
  Common::Duration mMax{ std::chrono::seconds(10) };
};

/// Waiting between calls while the store fails. Processes that fail together draw different
/// delays, so they also return spread over the last delay when the store is back.
struct BackOff
{
  std::uint32_t mFailures = 0;
  Common::Timestamp mNextCall;
};

/// The delay is uniform between half and all of an exponentially growing bound.
void
NoteFailure(BackOff& aBackOff,
            const BackOffSettings& aSettings,
            Common::Timestamp aNow,
            Common::Random& aRandom);
void
NoteSuccess(BackOff& aBackOff);
/// One failure alone does not make calls wait: it may be a lost answer, which reading back settles.
bool
MayCall(const BackOff& aBackOff, Common::Timestamp aNow);

/// The store port with a budget and a back-off
/// for one purpose. Calls beyond them are refused with Unavailable.
class BudgetedStore final : public StorePort
{
public:
  /// State shared by the purposes of one process.
  struct Shared
  {
    std::mutex mMutex;
    CallBudget mBudget;
    BackOff mBackOff;
    BackOffSettings mSettings;
    Common::Random mRandom{ 1 };
  };

  BudgetedStore(StorePort& aStore, Common::Clock& aClock, Shared& aShared, Purpose aPurpose);

  Result<std::optional<Entry>> read(const std::string& aKey) override;
  Result<std::vector<Entry>> readPrefix(const std::string& aPrefix, std::size_t aLimit) override;
  Result<Version> compareAndSwap(const std::string& aKey,
                                 Version aExpected,
                                 const std::string& aValue,
                                 std::optional<LeaseId> aLease = std::nullopt) override;
  Result<void> erase(const std::string& aKey, Version aExpected) override;
  Result<LeaseId> grantLease(Common::Duration aTimeToLive) override;
  Result<void> renewLease(LeaseId aLease) override;
  Result<void> revokeLease(LeaseId aLease) override;
  Result<WatchResult> watch(const std::string& aPrefix,
                            Version aAfter,
                            Common::Duration aTimeout) override;

private:
  template<typename Call>
  auto limited(Call aCall) -> decltype(aCall());

  StorePort& mStore;
  Common::Clock& mClock;
  Shared& mShared;
  Purpose mPurpose;
};

} // namespace Store
