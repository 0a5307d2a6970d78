#include "Store/Revisions.h"

#include "Store/Settle.h"

namespace Store {

namespace {

// Other writers and lost answers make a publication start again at most this often.
constexpr int kAttempts = 4;
// Old revisions that one publication erases at most, so that its cost stays bounded.
constexpr std::int64_t kErasedAtOnce = 4;
// Author and comment are repeated in the history of `tables/current`, which must stay small.
constexpr std::size_t kMaxNote = 1000;

using Published = tl::expected<RevisionInfo, PublishError>;

struct Current
{
  CurrentRecord mRecord;
  Version mVersion;
};

tl::unexpected<PublishError>
Fail(StoreError aError, Common::Revision aCurrent = {})
{
  return tl::unexpected(PublishError{ aError, aCurrent });
}

Result<Current>
LoadCurrent(StorePort& aStore)
{
  const auto entry = aStore.read(kCurrentKey);
  if (!entry) {
    return tl::unexpected(entry.error());
  }
  if (!*entry) {
    return Current{};
  }
  auto record = DecodeCurrent((*entry)->mValue);
  if (!record) {
    return tl::unexpected(StoreError::Unavailable);
  }
  return Current{ std::move(*record), (*entry)->mVersion };
}

const RevisionInfo*
FindPublished(const CurrentRecord& aCurrent, const std::string& aToken)
{
  for (const RevisionInfo& info : aCurrent.mHistory) {
    if (info.mWriterToken == aToken) {
      return &info;
    }
  }
  return nullptr;
}

// Erases revisions beyond the kept ones; what fails is tried again by the next publication.
Common::Revision
EraseOld(StorePort& aStore, Common::Revision aOldest, Common::Revision aNew)
{
  for (std::int64_t i = 0; i < kErasedAtOnce; ++i) {
    if (aOldest.value() > aNew.value() - kKeptRevisions) {
      break;
    }
    const std::string key = NumberedKey(kRevisionPrefix, aOldest.value());
    const auto entry = aStore.read(key);
    if (!entry || (*entry && !aStore.erase(key, (*entry)->mVersion))) {
      break;
    }
    aOldest += Common::Revision(1);
  }
  return aOldest;
}

// Writes `tables/rev/N` for the revision after aCurrent. A revision that another writer left behind
// there is replaced only after `tables/current` got a new version: from then on that writer cannot
// move `tables/current` to a record that no longer is its own. A revision of an earlier try of this
// writer is written again, so that a replacement that is on its way conflicts.
Result<void>
WriteRevision(StorePort& aStore, Current& aCurrent, const RevisionRecord& aRecord)
{
  const std::string key = NumberedKey(kRevisionPrefix, aRecord.mInfo.mRevision.value());
  const auto left = aStore.read(key);
  if (!left) {
    return tl::unexpected(left.error());
  }
  const std::string value = EncodeRevision(aRecord);
  if (*left && (*left)->mValue != value) {
    // A value of its own, so that the fence of another writer is not taken for this one.
    aCurrent.mRecord.mFence =
      aRecord.mInfo.mWriterToken + "@" + std::to_string(aCurrent.mVersion.value());
    const auto fenced =
      SwapSettled(aStore, kCurrentKey, aCurrent.mVersion, EncodeCurrent(aCurrent.mRecord));
    if (!fenced) {
      return tl::unexpected(fenced.error());
    }
    aCurrent.mVersion = *fenced;
  }
  return SwapSettled(aStore, key, *left ? (*left)->mVersion : Version(), value).map([](Version) {});
}

CurrentRecord
NextCurrent(const CurrentRecord& aFrom, const RevisionInfo& aInfo, Common::Revision aOldest)
{
  CurrentRecord next{ aInfo, "", aOldest, aFrom.mHistory };
  next.mHistory.push_back(aInfo);
  if (static_cast<std::int64_t>(next.mHistory.size()) > kKeptRevisions) {
    next.mHistory.erase(next.mHistory.begin());
  }
  return next;
}

// One try to publish on top of what `tables/current` names now.
Published
TryPublish(StorePort& aStore, const PublishRequest& aRequest)
{
  auto current = LoadCurrent(aStore);
  if (!current) {
    return Fail(current.error());
  }
  if (const RevisionInfo* done = FindPublished(current->mRecord, aRequest.mWriterToken)) {
    return *done;
  }
  const Common::Revision now = current->mRecord.mInfo.mRevision;
  if (now != aRequest.mBase) {
    return Fail(StoreError::Conflict, now);
  }
  const RevisionInfo info{ now + Common::Revision(1), HashTables(aRequest.mTexts),
                           aRequest.mAuthor,          aRequest.mComment,
                           aRequest.mUnixMillis,      aRequest.mWriterToken };
  const auto stored = WriteRevision(aStore, *current, { info, aRequest.mTexts });
  if (!stored) {
    return Fail(stored.error(), now);
  }
  const Common::Revision oldest = EraseOld(aStore, current->mRecord.mOldest, info.mRevision);
  const auto moved = SwapSettled(aStore,
                                 kCurrentKey,
                                 current->mVersion,
                                 EncodeCurrent(NextCurrent(current->mRecord, info, oldest)));
  if (!moved) {
    return Fail(moved.error(), now);
  }
  return info;
}

} // namespace

tl::expected<RevisionInfo, PublishError>
PublishRevision(StorePort& aStore, const PublishRequest& aRequest)
{
  if (aRequest.mAuthor.size() > kMaxNote || aRequest.mComment.size() > kMaxNote ||
      aRequest.mWriterToken.empty()) {
    return Fail(StoreError::TooLarge);
  }
  Published result = Fail(StoreError::Unavailable);
  bool unknown = false;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    result = TryPublish(aStore, aRequest);
    if (result || result.error().mError == StoreError::TooLarge) {
      return result;
    }
    const PublishError& error = result.error();
    if (error.mError == StoreError::Conflict && error.mCurrent != aRequest.mBase) {
      return result;
    }
    // A conflict while the base still was current may come after a lost answer: this edit came into
    // force and was followed by another one. Only the history tells.
    unknown = unknown || error.mError != StoreError::Unavailable;
    if (error.mError == StoreError::Unavailable) {
      break;
    }
  }
  result.error().mError = unknown ? StoreError::Unknown : StoreError::Unavailable;
  return result;
}

Result<std::optional<CurrentRecord>>
ReadCurrent(StorePort& aStore)
{
  auto current = LoadCurrent(aStore);
  if (!current) {
    return tl::unexpected(current.error());
  }
  if (current->mVersion == Version()) {
    return std::optional<CurrentRecord>();
  }
  return std::optional(std::move(current->mRecord));
}

Result<std::optional<RevisionRecord>>
ReadRevision(StorePort& aStore, Common::Revision aRevision)
{
  const auto entry = aStore.read(NumberedKey(kRevisionPrefix, aRevision.value()));
  if (!entry) {
    return tl::unexpected(entry.error());
  }
  if (!*entry) {
    return std::optional<RevisionRecord>();
  }
  auto record = DecodeRevision((*entry)->mValue);
  if (!record) {
    return tl::unexpected(StoreError::Unavailable);
  }
  return record;
}

} // namespace Store
