#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "Jobs/Model.h"

/// Records of jobs and of their progress, and their encoding in store values.
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
  /// A task with restart policy "never" whose outcome is unknown.
  Unknown = 4,
  /// The attempts up to mAttempt (0 for none) ended without finishing the task. mCheckpoint is the
  /// newest checkpoint, which may be of an attempt that is still running.
  AttemptsEnded = 5,
  /// The whole job was cancelled; mIndex is kWholeJob.
  JobCancelled = 6,
  /// The whole job failed; mCheckpoint holds the reason and mIndex is kWholeJob.
  JobFailed = 7,
  /// Tasks of the job that have no record of their own start with attempt mAttempt; mIndex is
  /// kWholeJob.
  FirstAttempt = 8,
};

constexpr std::uint32_t kWholeJob = UINT32_MAX;

/// A change of a task or a job. Records may be applied more than once: the end of a task is final,
/// and of two attempts the higher one counts. Only records with checkpoints of the same task have
/// to be applied in order.
struct ProgressRecord
{
  ProgressKind mKind = ProgressKind::Finished;
  TaskKey mTask;
  Common::Attempt mAttempt;
  /// Attempt that took mCheckpoint; 0 if there is none.
  Common::Attempt mCheckpointAttempt;
  /// Last ended attempt that resumed from mCheckpoint and took no checkpoint of its own; 0 if there
  /// is none.
  Common::Attempt mResumedBy;
  std::string mCheckpoint;
};

/// The records of one store value.
struct Segment
{
  std::vector<JobRecord> mJobs;
  std::vector<ProgressRecord> mProgress;
};

struct SegmentError
{
  /// Offset in bytes at which decoding stopped.
  std::size_t mOffset = 0;
  std::string mText;
};

/// Encodes the segment in format version 1: magic, version, records, then a 64-bit hash of all
/// preceding bytes. Progress records are grouped by job and kind, and job numbers and task indexes
/// are written as differences.
std::string
EncodeSegment(const Segment& aSegment);

tl::expected<Segment, SegmentError>
DecodeSegment(std::string_view aBytes);

/// Upper bound of the encoded size of a job record, in bytes.
std::size_t
MaxEncodedBytes(const JobRecord& aRecord);

} // namespace Jobs
