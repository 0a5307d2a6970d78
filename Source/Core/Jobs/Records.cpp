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

/// Appends seven bits per byte, the lowest first; the top bit is set if another byte follows.
void
AppendVarint(std::string& aBytes, std::uint64_t aValue)
{
  while (aValue >= 0x80) {
    aBytes.push_back(static_cast<char>(aValue | 0x80));
    aValue >>= 7;
  }
  aBytes.push_back(static_cast<char>(aValue));
}

/// Appends the value in zigzag encoding, so that small negative values take few bytes.
void
AppendSigned(std::string& aBytes, std::int64_t aValue)
{
  AppendVarint(
    aBytes, (static_cast<std::uint64_t>(aValue) << 1) ^ static_cast<std::uint64_t>(aValue >> 63));
}

void
AppendText(std::string& aBytes, std::string_view aText)
{
  AppendVarint(aBytes, aText.size());
  aBytes.append(aText);
}

/// Reads what the Append functions wrote. After the first error all reads return zero or empty
/// values.
class Reader
{
public:
  explicit Reader(std::string_view aBytes, std::size_t aStart)
    : mBytes(aBytes)
    , mOffset(aStart)
  {
  }

  std::uint64_t varint()
  {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      if (mOffset >= mBytes.size()) {
        fail("the segment ends inside an integer");
        return 0;
      }
      const auto byte = static_cast<unsigned char>(mBytes[mOffset++]);
      value |= std::uint64_t{ byte & 0x7fU } << shift;
      if ((byte & 0x80U) == 0) {
        return value;
      }
    }
    fail("an integer is longer than 64 bits");
    return 0;
  }

  std::int64_t signedNumber()
  {
    const std::uint64_t value = varint();
    return static_cast<std::int64_t>(value >> 1) ^ -static_cast<std::int64_t>(value & 1);
  }

  std::string text()
  {
    const std::uint64_t size = varint();
    if (size > mBytes.size() - mOffset) {
      fail("the segment ends inside a string");
      return "";
    }
    std::string result(mBytes.substr(mOffset, size));
    mOffset += size;
    return result;
  }

  /// Number of items that follow. Each takes at least one byte, which bounds the number by the
  /// remaining bytes.
  std::size_t count()
  {
    const std::uint64_t items = varint();
    if (items > mBytes.size() - mOffset) {
      fail("an item count exceeds the remaining bytes");
      return 0;
    }
    return items;
  }

  void fail(const char* aText)
  {
    if (mError.empty()) {
      mError = aText;
      mErrorOffset = mOffset;
    }
  }

  bool ok() const { return mError.empty(); }
  bool atEnd() const { return mOffset == mBytes.size(); }
  SegmentError error() const { return { mErrorOffset, mError }; }

private:
  std::string_view mBytes;
  std::size_t mOffset;
  std::string mError;
  std::size_t mErrorOffset = 0;
};

void
AppendJob(std::string& aBytes, const JobRecord& aRecord)
{
  const JobSpec& spec = aRecord.mSpec;
  AppendVarint(aBytes, static_cast<std::uint64_t>(aRecord.mNumber.value()));
  AppendSigned(aBytes, aRecord.mSubmitted.count());
  AppendText(aBytes, spec.mClient.str());
  AppendText(aBytes, spec.mTeam.str());
  AppendText(aBytes, spec.mRoute.str());
  AppendText(aBytes, spec.mKey.str());
  AppendVarint(aBytes, spec.mTasks);
  AppendSigned(aBytes, spec.mPerTask.mCores.value());
  AppendSigned(aBytes, spec.mPerTask.mMemory.value());
  AppendSigned(aBytes, spec.mPerTask.mAccelerators.value());
  AppendSigned(aBytes, spec.mRunTime.count());
  AppendSigned(aBytes, spec.mDeadline.count());
  AppendSigned(aBytes, spec.mPriority);
  AppendText(aBytes, spec.mPayload);
  AppendVarint(aBytes, spec.mLabels.size());
  for (const std::string& label : spec.mLabels) {
    AppendText(aBytes, label);
  }
  AppendVarint(aBytes, static_cast<std::uint64_t>(spec.mUrgency));
  AppendSigned(aBytes, spec.mPrice.value());
  AppendVarint(aBytes, static_cast<std::uint64_t>(spec.mRestart));
  AppendVarint(aBytes, spec.mMaxAttempts);
  AppendVarint(aBytes, spec.mWatch ? 1 : 0);
}

JobRecord
ReadJob(Reader& aReader)
{
  JobRecord record;
  JobSpec& spec = record.mSpec;
  record.mNumber = JobNumber(static_cast<std::int64_t>(aReader.varint()));
  record.mSubmitted = Common::UnixMillis(aReader.signedNumber());
  spec.mClient = Common::ClientId(aReader.text());
  spec.mTeam = Common::TeamId(aReader.text());
  spec.mRoute = Common::RouteId(aReader.text());
  spec.mKey = Common::IdempotencyKey(aReader.text());
  spec.mTasks = static_cast<std::uint32_t>(aReader.varint());
  spec.mPerTask.mCores = Common::MilliCores(aReader.signedNumber());
  spec.mPerTask.mMemory = Common::Bytes(aReader.signedNumber());
  spec.mPerTask.mAccelerators = Common::Accelerators(aReader.signedNumber());
  spec.mRunTime = Common::Duration(aReader.signedNumber());
  spec.mDeadline = Common::UnixMillis(aReader.signedNumber());
  spec.mPriority = static_cast<std::int32_t>(aReader.signedNumber());
  spec.mPayload = aReader.text();
  const std::size_t labels = aReader.count();
  for (std::size_t i = 0; i < labels && aReader.ok(); ++i) {
    spec.mLabels.push_back(aReader.text());
  }
  spec.mUrgency = static_cast<Tables::Urgency>(aReader.varint());
  spec.mPrice = Common::MicroPrice(aReader.signedNumber());
  spec.mRestart = static_cast<Tables::RestartPolicy>(aReader.varint());
  spec.mMaxAttempts = static_cast<std::uint32_t>(aReader.varint());
  spec.mWatch = aReader.varint() != 0;
  return record;
}

bool
IsWholeJobRecord(ProgressKind aKind)
{
  return aKind == ProgressKind::JobCancelled || aKind == ProgressKind::JobFailed ||
         aKind == ProgressKind::FirstAttempt;
}

using ProgressGroups =
  std::map<std::pair<std::int64_t, ProgressKind>, std::vector<const ProgressRecord*>>;

/// Appends the records of one job and one kind, sorted by task index.
void
AppendGroup(std::string& aBytes, std::vector<const ProgressRecord*>& aGroup)
{
  std::stable_sort(aGroup.begin(), aGroup.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->mTask.mIndex < aRight->mTask.mIndex;
  });
  const ProgressKind kind = aGroup.front()->mKind;
  AppendVarint(aBytes, aGroup.size());
  std::uint32_t previous = 0;
  for (const ProgressRecord* record : aGroup) {
    if (IsWholeJobRecord(kind)) {
      AppendVarint(aBytes, static_cast<std::uint64_t>(record->mAttempt.value()));
      AppendText(aBytes, record->mCheckpoint);
      continue;
    }
    AppendVarint(aBytes, record->mTask.mIndex - previous);
    previous = record->mTask.mIndex;
    AppendVarint(aBytes, static_cast<std::uint64_t>(record->mAttempt.value()));
    if (kind == ProgressKind::AttemptsEnded) {
      AppendVarint(aBytes, static_cast<std::uint64_t>(record->mCheckpointAttempt.value()));
      AppendVarint(aBytes, static_cast<std::uint64_t>(record->mResumedBy.value()));
      AppendText(aBytes, record->mCheckpoint);
    }
  }
}

void
AppendProgress(std::string& aBytes, const std::vector<ProgressRecord>& aRecords)
{
  ProgressGroups groups;
  for (const ProgressRecord& record : aRecords) {
    groups[{ record.mTask.mJob.value(), record.mKind }].push_back(&record);
  }
  AppendVarint(aBytes, groups.size());
  std::int64_t previous = 0;
  for (auto& [key, group] : groups) {
    AppendSigned(aBytes, key.first - previous);
    previous = key.first;
    AppendVarint(aBytes, static_cast<std::uint64_t>(key.second));
    AppendGroup(aBytes, group);
  }
}

void
ReadGroup(Reader& aReader,
          JobNumber aJob,
          ProgressKind aKind,
          std::vector<ProgressRecord>& aRecords)
{
  const std::size_t count = aReader.count();
  std::uint32_t previous = 0;
  for (std::size_t i = 0; i < count && aReader.ok(); ++i) {
    ProgressRecord record;
    record.mKind = aKind;
    record.mTask = { aJob, kWholeJob };
    if (IsWholeJobRecord(aKind)) {
      record.mAttempt = Common::Attempt(static_cast<std::int64_t>(aReader.varint()));
      record.mCheckpoint = aReader.text();
    } else {
      previous += static_cast<std::uint32_t>(aReader.varint());
      record.mTask.mIndex = previous;
      record.mAttempt = Common::Attempt(static_cast<std::int64_t>(aReader.varint()));
      if (aKind == ProgressKind::AttemptsEnded) {
        record.mCheckpointAttempt = Common::Attempt(static_cast<std::int64_t>(aReader.varint()));
        record.mResumedBy = Common::Attempt(static_cast<std::int64_t>(aReader.varint()));
        record.mCheckpoint = aReader.text();
      }
    }
    aRecords.push_back(std::move(record));
  }
}

void
ReadProgress(Reader& aReader, std::vector<ProgressRecord>& aRecords)
{
  const std::size_t groups = aReader.count();
  std::int64_t job = 0;
  for (std::size_t i = 0; i < groups && aReader.ok(); ++i) {
    job += aReader.signedNumber();
    const std::uint64_t kind = aReader.varint();
    if (kind < 1 || kind > static_cast<std::uint64_t>(ProgressKind::FirstAttempt)) {
      aReader.fail("a progress record has an unknown kind");
      return;
    }
    ReadGroup(aReader, JobNumber(job), static_cast<ProgressKind>(kind), aRecords);
  }
}

/// Checks the magic, the version and the hash. The text of the error is "" if all are right.
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
    return { body.size(), "the checksum of the segment does not match" };
  }
  return {};
}

} // namespace

std::string
EncodeSegment(const Segment& aSegment)
{
  std::string out(kMagic);
  out.push_back(kVersion);
  AppendVarint(out, aSegment.mJobs.size());
  for (const JobRecord& record : aSegment.mJobs) {
    AppendJob(out, record);
  }
  AppendProgress(out, aSegment.mProgress);
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
  for (std::size_t i = 0; i < jobs && reader.ok(); ++i) {
    segment.mJobs.push_back(ReadJob(reader));
  }
  ReadProgress(reader, segment.mProgress);
  if (reader.ok() && !reader.atEnd()) {
    reader.fail("the segment has extra bytes after the last record");
  }
  if (!reader.ok()) {
    return tl::unexpected(reader.error());
  }
  return segment;
}

std::size_t
MaxEncodedBytes(const JobRecord& aRecord)
{
  const JobSpec& spec = aRecord.mSpec;
  // 160 bytes bound the integers and length prefixes of a record, 10 bytes the length prefix of a
  // label.
  std::size_t bytes = 160 + spec.mClient.str().size() + spec.mTeam.str().size() +
                      spec.mRoute.str().size() + spec.mKey.str().size() + spec.mPayload.size();
  for (const std::string& label : spec.mLabels) {
    bytes += 10 + label.size();
  }
  return bytes;
}

} // namespace Jobs
