#pragma once

#include <string>
#include <vector>

#include "Store/StorePort.h"

/// Joint table revisions in the store: `tables/rev/N` holds revision N, `tables/current` names the
/// one in force. Moving `tables/current` decides; everything written before that can be repeated.
namespace Store {

inline constexpr const char* kCurrentKey = "tables/current";
inline constexpr const char* kRevisionPrefix = "tables/rev/";
/// Revisions that are kept for history and rollback.
constexpr std::int64_t kKeptRevisions = 64;

/// Both tables as the operator wrote them.
struct TableTexts
{
  std::string mRoutes;
  std::string mPools;

  bool operator==(const TableTexts&) const = default;
};

struct RevisionInfo
{
  Common::Revision mRevision;
  std::string mHash;
  std::string mAuthor;
  std::string mComment;
  std::int64_t mUnixMillis = 0;
  /// Identifies the call that published the revision.
  std::string mWriterToken;

  bool operator==(const RevisionInfo&) const = default;
};

struct RevisionRecord
{
  RevisionInfo mInfo;
  TableTexts mTexts;

  bool operator==(const RevisionRecord&) const = default;
};

/// The value of `tables/current`.
struct CurrentRecord
{
  RevisionInfo mInfo;
  /// Differs between all writes that leave the revision as it is.
  std::string mFence;
  /// Lowest revision that may still be stored.
  Common::Revision mOldest{ 1 };
  /// Kept revisions including the current one, oldest first.
  std::vector<RevisionInfo> mHistory;
};

struct PublishRequest
{
  /// Revision from which the operator started; 0 if there was none.
  Common::Revision mBase;
  TableTexts mTexts;
  std::string mAuthor;
  std::string mComment;
  std::int64_t mUnixMillis = 0;
  /// Unique for this edit; the same token again settles an earlier call whose result is unknown.
  std::string mWriterToken;
};

struct PublishError
{
  /// Conflict: another revision is current. Unknown: the edit may be in force or come into force.
  StoreError mError = StoreError::Unavailable;
  /// With Conflict, the current revision.
  Common::Revision mCurrent;
};

/// Hash of both texts, equal in every process.
std::string
HashTables(const TableTexts& aTexts);

/// Publishes revision mBase + 1. Lost answers are settled by reading back the writer token.
tl::expected<RevisionInfo, PublishError>
PublishRevision(StorePort& aStore, const PublishRequest& aRequest);

/// Empty if nothing was ever published.
Result<std::optional<CurrentRecord>>
ReadCurrent(StorePort& aStore);

/// Empty if the revision is not stored (any more). Unavailable also if the record is damaged.
Result<std::optional<RevisionRecord>>
ReadRevision(StorePort& aStore, Common::Revision aRevision);

std::string
EncodeRevision(const RevisionRecord& aRecord);
std::optional<RevisionRecord>
DecodeRevision(const std::string& aText);
std::string
EncodeCurrent(const CurrentRecord& aRecord);
std::optional<CurrentRecord>
DecodeCurrent(const std::string& aText);

/// The name of a numbered key; its order as text is the order of the numbers.
std::string
NumberedKey(const std::string& aPrefix, std::int64_t aNumber);

} // namespace Store
