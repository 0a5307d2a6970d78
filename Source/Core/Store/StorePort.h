#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "Common/Clock.h"
#include "Common/Units.h"

/// The platform's key-value store as the scheduler sees it.
namespace Store {

/// Version of one key; it rises with each write. 0 stands for "the key does not exist".
using Version = Common::Quantity<struct VersionTag>;
using LeaseId = Common::Quantity<struct LeaseTag>;

enum class StoreError
{
  /// The key's version is not the expected one; nothing was written.
  Conflict,
  /// The lease does not exist (any more); nothing was written.
  LeaseLapsed,
  /// The call was refused before it took effect (store down, budget used up).
  Unavailable,
  /// No answer came; a write may have taken effect.
  Unknown,
  /// The value is over kMaxValue; nothing was written.
  TooLarge,
};

/// The store holds values up to this size.
constexpr Common::Bytes kMaxValue{ 1 << 20 };

struct Entry
{
  std::string mKey;
  std::string mValue;
  Version mVersion;
};

/// What a watch saw: changed entries, and the keys that were erased.
struct WatchResult
{
  std::vector<Entry> mChanged;
  std::vector<std::string> mErased;
  /// Pass this to the next watch call so that no change between two calls is missed.
  Version mUpTo;
};

template<typename Value>
using Result = tl::expected<Value, StoreError>;

/// Each call counts against the store's rates; a waiting watch counts as one read. Implementations
/// are safe to call from several threads and return within a bounded time.
class StorePort
{
public:
  virtual ~StorePort() = default;

  virtual Result<std::optional<Entry>> read(const std::string& aKey) = 0;

  /// Entries whose key starts with aPrefix, in key order, at most aLimit.
  virtual Result<std::vector<Entry>> readPrefix(const std::string& aPrefix, std::size_t aLimit) = 0;

  /// Writes aValue if the key's version is aExpected, and returns the new version. With a lease the
  /// key is erased when the lease lapses.
  virtual Result<Version> compareAndSwap(const std::string& aKey,
                                         Version aExpected,
                                         const std::string& aValue,
                                         std::optional<LeaseId> aLease = std::nullopt) = 0;

  virtual Result<void> erase(const std::string& aKey, Version aExpected) = 0;

  virtual Result<LeaseId> grantLease(Common::Duration aTimeToLive) = 0;
  virtual Result<void> renewLease(LeaseId aLease) = 0;
  virtual Result<void> revokeLease(LeaseId aLease) = 0;

  /// Waits until an entry under aPrefix changes after aAfter, at most aTimeout; an empty result
  /// means that nothing changed.
  virtual Result<WatchResult> watch(const std::string& aPrefix,
                                    Version aAfter,
                                    Common::Duration aTimeout) = 0;
};

} // namespace Store
