#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "Jobs/Model.h"

/// Records of jobs and their progress, as they are packed into store values.
namespace Jobs {

struct JobRecord
{
  JobNumber mNumber;
  JobSpec mSpec;
  Common::UnixMillis mSubmitted{ 0 };
};

enum class ProgressKind : std::uint8_t
{
  Finished = 1,
  Failed = 2,
  Cancelled = 3,
  /// A task with restart "never" whose end is not known.
  Unknown = 4,
  /// The attempts up to mAttempt (0 for none) ended without finishing the task; mCheckpoint is the
  /// newest checkpoint, which may come from an attempt that goes on.
  AttemptOver = 5,
  /// The whole job is cancelled; mIndex is kWholeJob.
  JobCancelled = 6,
  /// The whole job failed; mCheckpoint holds the reason, mIndex is kWholeJob.
  JobFailed = 7,
  /// Tasks of the job without a record of their own start with attempt mAttempt; mIndex is
  /// kWholeJob.
  FirstAttempt = 8,
};

constexpr std::uint32_t kWholeJob = UINT32_MAX;

/// Records may be applied more than once: an end of a task is final, and of two attempts the higher
/// one counts. Only records of the same task with checkpoints have to be applied in their order.
struct ProgressRecord
{
  ProgressKind mKind = ProgressKind::Finished;
  TaskKey mTask;
  Common::Attempt mAttempt;
  /// Attempt that made mCheckpoint; 0 if there is none.
  Common::Attempt mCheckpointAttempt;
  /// Attempt that resumed from an earlier checkpoint and has ended; 0 if none did.
  Common::Attempt mResumedBy;
  std::string mCheckpoint;
};

/// What one store value holds.
struct Segment
{
  std::vector<JobRecord> mJobs;
  std::vector<ProgressRecord> mProgress;
};

struct SegmentError
{
  /// Offset in the value at which decoding stopped.
  std::size_t mOffset = 0;
  std::string mText;
};

/// Format version 1: magic, version, records, then a 64-bit hash of all bytes before it. Progress
/// records are sorted by job, and ends of tasks are written as runs of index differences.
std::string
EncodeSegment(const Segment& aSegment);

tl::expected<Segment, SegmentError>
DecodeSegment(std::string_view aBytes);

/// Upper bound of the bytes that one job record takes in a segment.
std::size_t
MaxEncodedBytes(const JobRecord& aRecord);

} // namespace Jobs
