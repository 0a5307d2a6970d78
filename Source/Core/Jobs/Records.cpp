#include "Jobs/Records.h"

#include <algorithm>
#include <cstring>
#include <map>

#include "Common/Hash.h"

namespace Jobs {

namespace {

constexpr std::string_view kMagic = "IBSG";
constexpr char kVersion = 1;
constexpr std::size_t kHashBytes = 8;

void
PutNumber(std::string& aOut, std::uint64_t aValue)
{
  while (aValue >= 0x80) {
    aOut.push_back(static_cast<char>(aValue | 0x80));
    aValue >>= 7;
  }
  aOut.push_back(static_cast<char>(aValue));
}

void
PutSigned(std::string& aOut, std::int64_t aValue)
{
  PutNumber(aOut,
            (static_cast<std::uint64_t>(aValue) << 1) ^ static_cast<std::uint64_t>(aValue >> 63));
}

void
PutText(std::string& aOut, std::string_view aText)
{
  PutNumber(aOut, aText.size());
  aOut.append(aText);
}

/// Reads what the Put functions wrote; after the first error all reads give zero values.
class Reader
{
public:
  explicit Reader(std::string_view aBytes, std::size_t aStart)
    : mBytes(aBytes)
    , mAt(aStart)
  {
  }

  std::uint64_t number()
  {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      if (mAt >= mBytes.size()) {
        fail("the value ends inside a number");
        return 0;
      }
      const auto byte = static_cast<unsigned char>(mBytes[mAt++]);
      value |= std::uint64_t{ byte & 0x7fU } << shift;
      if ((byte & 0x80U) == 0) {
        return value;
      }
    }
    fail("a number is longer than 64 bits");
    return 0;
  }

  std::int64_t signedNumber()
  {
    const std::uint64_t value = number();
    return static_cast<std::int64_t>(value >> 1) ^ -static_cast<std::int64_t>(value & 1);
  }

  std::string text()
  {
    const std::uint64_t size = number();
    if (size > mBytes.size() - mAt) {
      fail("the value ends inside a text");
      return "";
    }
    std::string result(mBytes.substr(mAt, size));
    mAt += size;
    return result;
  }

  /// Number of items that follow, each of at least one byte.
  std::size_t count()
  {
    const std::uint64_t items = number();
    if (items > mBytes.size() - mAt) {
      fail("the value names more items than it has bytes");
      return 0;
    }
    return items;
  }

  void fail(const char* aText)
  {
    if (mError.empty()) {
      mError = aText;
      mErrorAt = mAt;
    }
  }

  bool good() const { return mError.empty(); }
  bool atEnd() const { return mAt == mBytes.size(); }
  SegmentError error() const { return { mErrorAt, mError }; }

private:
  std::string_view mBytes;
  std::size_t mAt;
  std::string mError;
  std::size_t mErrorAt = 0;
};

void
PutJob(std::string& aOut, const JobRecord& aRecord)
{
  const JobSpec& spec = aRecord.mSpec;
  PutNumber(aOut, static_cast<std::uint64_t>(aRecord.mNumber.value()));
  PutSigned(aOut, aRecord.mSubmitted.count());
  PutText(aOut, spec.mClient.str());
  PutText(aOut, spec.mTeam.str());
  PutText(aOut, spec.mRoute.str());
  PutText(aOut, spec.mKey.str());
  PutNumber(aOut, spec.mTasks);
  PutSigned(aOut, spec.mPerTask.mCores.value());
  PutSigned(aOut, spec.mPerTask.mMemory.value());
  PutSigned(aOut, spec.mPerTask.mAccelerators.value());
  PutSigned(aOut, spec.mRunTime.count());
  PutSigned(aOut, spec.mDeadline.count());
  PutSigned(aOut, spec.mPriority);
  PutText(aOut, spec.mPayload);
  PutNumber(aOut, spec.mLabels.size());
  for (const std::string& label : spec.mLabels) {
    PutText(aOut, label);
  }
  PutNumber(aOut, static_cast<std::uint64_t>(spec.mUrgency));
  PutSigned(aOut, spec.mPrice.value());
  PutNumber(aOut, static_cast<std::uint64_t>(spec.mRestart));
  PutNumber(aOut, spec.mMaxAttempts);
  PutNumber(aOut, spec.mWatch ? 1 : 0);
}

JobRecord
TakeJob(Reader& aIn)
{
  JobRecord record;
  JobSpec& spec = record.mSpec;
  record.mNumber = JobNumber(static_cast<std::int64_t>(aIn.number()));
  record.mSubmitted = Common::UnixMillis(aIn.signedNumber());
  spec.mClient = Common::ClientId(aIn.text());
  spec.mTeam = Common::TeamId(aIn.text());
  spec.mRoute = Common::RouteId(aIn.text());
  spec.mKey = Common::IdempotencyKey(aIn.text());
  spec.mTasks = static_cast<std::uint32_t>(aIn.number());
  spec.mPerTask.mCores = Common::MilliCores(aIn.signedNumber());
  spec.mPerTask.mMemory = Common::Bytes(aIn.signedNumber());
  spec.mPerTask.mAccelerators = Common::Accelerators(aIn.signedNumber());
  spec.mRunTime = Common::Duration(aIn.signedNumber());
  spec.mDeadline = Common::UnixMillis(aIn.signedNumber());
  spec.mPriority = static_cast<std::int32_t>(aIn.signedNumber());
  spec.mPayload = aIn.text();
  const std::size_t labels = aIn.count();
  for (std::size_t i = 0; i < labels && aIn.good(); ++i) {
    spec.mLabels.push_back(aIn.text());
  }
  spec.mUrgency = static_cast<Tables::Urgency>(aIn.number());
  spec.mPrice = Common::MicroPrice(aIn.signedNumber());
  spec.mRestart = static_cast<Tables::RestartPolicy>(aIn.number());
  spec.mMaxAttempts = static_cast<std::uint32_t>(aIn.number());
  spec.mWatch = aIn.number() != 0;
  return record;
}

bool
IsWholeJob(ProgressKind aKind)
{
  return aKind == ProgressKind::JobCancelled || aKind == ProgressKind::JobFailed ||
         aKind == ProgressKind::FirstAttempt;
}

using ByKind = std::map<std::pair<std::int64_t, ProgressKind>, std::vector<const ProgressRecord*>>;

/// Records of one job and one kind, in the order of their task indexes.
void
PutGroup(std::string& aOut, std::vector<const ProgressRecord*>& aGroup)
{
  std::stable_sort(aGroup.begin(), aGroup.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->mTask.mIndex < aRight->mTask.mIndex;
  });
  const ProgressKind kind = aGroup.front()->mKind;
  PutNumber(aOut, aGroup.size());
  std::uint32_t last = 0;
  for (const ProgressRecord* record : aGroup) {
    if (IsWholeJob(kind)) {
      PutNumber(aOut, static_cast<std::uint64_t>(record->mAttempt.value()));
      PutText(aOut, record->mCheckpoint);
      continue;
    }
    PutNumber(aOut, record->mTask.mIndex - last);
    last = record->mTask.mIndex;
    PutNumber(aOut, static_cast<std::uint64_t>(record->mAttempt.value()));
    if (kind == ProgressKind::AttemptOver) {
      PutNumber(aOut, static_cast<std::uint64_t>(record->mCheckpointAttempt.value()));
      PutNumber(aOut, static_cast<std::uint64_t>(record->mResumedBy.value()));
      PutText(aOut, record->mCheckpoint);
    }
  }
}

void
PutProgress(std::string& aOut, const std::vector<ProgressRecord>& aRecords)
{
  ByKind groups;
  for (const ProgressRecord& record : aRecords) {
    groups[{ record.mTask.mJob.value(), record.mKind }].push_back(&record);
  }
  PutNumber(aOut, groups.size());
  std::int64_t last = 0;
  for (auto& [key, group] : groups) {
    PutSigned(aOut, key.first - last);
    last = key.first;
    PutNumber(aOut, static_cast<std::uint64_t>(key.second));
    PutGroup(aOut, group);
  }
}

void
TakeGroup(Reader& aIn, JobNumber aJob, ProgressKind aKind, std::vector<ProgressRecord>& aRecords)
{
  const std::size_t count = aIn.count();
  std::uint32_t last = 0;
  for (std::size_t i = 0; i < count && aIn.good(); ++i) {
    ProgressRecord record;
    record.mKind = aKind;
    record.mTask = { aJob, kWholeJob };
    if (IsWholeJob(aKind)) {
      record.mAttempt = Common::Attempt(static_cast<std::int64_t>(aIn.number()));
      record.mCheckpoint = aIn.text();
    } else {
      last += static_cast<std::uint32_t>(aIn.number());
      record.mTask.mIndex = last;
      record.mAttempt = Common::Attempt(static_cast<std::int64_t>(aIn.number()));
      if (aKind == ProgressKind::AttemptOver) {
        record.mCheckpointAttempt = Common::Attempt(static_cast<std::int64_t>(aIn.number()));
        record.mResumedBy = Common::Attempt(static_cast<std::int64_t>(aIn.number()));
        record.mCheckpoint = aIn.text();
      }
    }
    aRecords.push_back(std::move(record));
  }
}

void
TakeProgress(Reader& aIn, std::vector<ProgressRecord>& aRecords)
{
  const std::size_t groups = aIn.count();
  std::int64_t job = 0;
  for (std::size_t i = 0; i < groups && aIn.good(); ++i) {
    job += aIn.signedNumber();
    const std::uint64_t kind = aIn.number();
    if (kind < 1 || kind > static_cast<std::uint64_t>(ProgressKind::FirstAttempt)) {
      aIn.fail("unknown kind of progress record");
      return;
    }
    TakeGroup(aIn, JobNumber(job), static_cast<ProgressKind>(kind), aRecords);
  }
}

/// "" if the frame around the records is whole.
SegmentError
CheckFrame(std::string_view aBytes)
{
  const std::size_t header = kMagic.size() + 1;
  if (aBytes.size() < header + kHashBytes || !aBytes.starts_with(kMagic)) {
    return { 0, "the value is not a segment" };
  }
  if (aBytes[kMagic.size()] != kVersion) {
    return { kMagic.size(), "the segment has an unknown format version" };
  }
  const std::string_view body = aBytes.substr(0, aBytes.size() - kHashBytes);
  std::uint64_t hash = 0;
  std::memcpy(&hash, aBytes.data() + body.size(), kHashBytes);
  if (hash != Common::HashBytes(body)) {
    return { body.size(), "the checksum of the segment is wrong" };
  }
  return {};
}

} // namespace

std::string
EncodeSegment(const Segment& aSegment)
{
  std::string out(kMagic);
  out.push_back(kVersion);
  PutNumber(out, aSegment.mJobs.size());
  for (const JobRecord& record : aSegment.mJobs) {
    PutJob(out, record);
  }
  PutProgress(out, aSegment.mProgress);
  const std::uint64_t hash = Common::HashBytes(out);
  out.append(reinterpret_cast<const char*>(&hash), kHashBytes);
  return out;
}

tl::expected<Segment, SegmentError>
DecodeSegment(std::string_view aBytes)
{
  if (SegmentError error = CheckFrame(aBytes); !error.mText.empty()) {
    return tl::unexpected(std::move(error));
  }
  Reader reader(aBytes.substr(0, aBytes.size() - kHashBytes), kMagic.size() + 1);
  Segment segment;
  const std::size_t jobs = reader.count();
  for (std::size_t i = 0; i < jobs && reader.good(); ++i) {
    segment.mJobs.push_back(TakeJob(reader));
  }
  TakeProgress(reader, segment.mProgress);
  if (reader.good() && !reader.atEnd()) {
    reader.fail("bytes are left after the last record");
  }
  if (!reader.good()) {
    return tl::unexpected(reader.error());
  }
  return segment;
}

std::size_t
MaxEncodedBytes(const JobRecord& aRecord)
{
  const JobSpec& spec = aRecord.mSpec;
  std::size_t bytes = 160 + spec.mClient.str().size() + spec.mTeam.str().size() +
                      spec.mRoute.str().size() + spec.mKey.str().size() + spec.mPayload.size();
  for (const std::string& label : spec.mLabels) {
    bytes += 10 + label.size();
  }
  return bytes;
}

} // namespace Jobs
