#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "Common/Clock.h"
#include "Store/StorePort.h"

namespace Store {

/// One page of entries under a prefix.
struct Page
{
  std::vector<Entry> mEntries;
  bool mMore = false;
  /// Version of the store when the page was read; a watch after it misses nothing that the page
  /// does not show.
  Version mAt;
};

struct Expectation
{
  std::string mKey;
  /// 0 if the key must not exist.
  Version mVersion;
};

struct Put
{
  std::string mKey;
  std::string mValue;
  std::optional<LeaseId> mLease;
};

/// All or nothing.
struct Transaction
{
  std::vector<Expectation> mExpected;
  std::vector<Put> mPuts;
  std::vector<std::string> mErased;

  /// Entries that a store accepts in one transaction.
  static constexpr std::size_t kMaxEntries = 32;
};

struct WriteFailure
{
  StoreError mError = StoreError::Unknown;
  /// With StoreError::Conflict: the entries of mExpected that exist, as they are.
  std::vector<Entry> mActual;
};

struct GrantedLease
{
  LeaseId mLease;
  /// What the store gave, which may differ from what was asked for.
  Common::Duration mTimeToLive{ 0 };
};

enum class WatchError
{
  /// The store no longer has the changes after the given version.
  HistoryGone,
  NoAnswer,
};

template<typename Value>
using Done = std::function<void(Result<Value>)>;

/// The platform's store with transactions. Calls return at once; the answer comes on the event loop
/// within the timeout. For pages and watches, whose answers can be large, the timeout counts anew
/// with each part that arrives. StoreError::Unavailable means that nothing was done.
class AsyncStore
{
public:
  virtual ~AsyncStore() = default;

  virtual void read(const std::string& aKey,
                    Common::Duration aTimeout,
                    std::function<void(Result<std::optional<Entry>>)> aDone) = 0;
  /// Entries under aPrefix in key order that come after the key aAfter ("" for the first page).
  virtual void readPage(const std::string& aPrefix,
                        const std::string& aAfter,
                        Common::Duration aTimeout,
                        Done<Page> aDone) = 0;
  virtual void watch(const std::string& aPrefix,
                     Version aAfter,
                     Common::Duration aWait,
                     std::function<void(tl::expected<WatchResult, WatchError>)> aDone) = 0;
  virtual void write(const Transaction& aTransaction,
                     Common::Duration aTimeout,
                     std::function<void(tl::expected<Version, WriteFailure>)> aDone) = 0;
  virtual void grantLease(Common::Duration aTimeToLive,
                          Common::Duration aTimeout,
                          Done<GrantedLease> aDone) = 0;
  /// StoreError::LeaseLapsed if the lease has ended.
  virtual void renewLease(LeaseId aLease, Common::Duration aTimeout, Done<void> aDone) = 0;
  virtual void endLease(LeaseId aLease, Common::Duration aTimeout, Done<void> aDone) = 0;
};

} // namespace Store
