#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Ids.h"
#include "Common/Units.h"

/// Workers with their free room, indexed for sampled placement.
namespace Placement {

using Common::Resources;

/// Number of a worker in one index; reused after the worker is removed.
using WorkerNumber = std::uint32_t;
constexpr WorkerNumber kNoWorker = UINT32_MAX;

/// Names one reservation; the caller derives it from task and attempt.
using ReservationId = std::uint64_t;

struct WorkerAttributes
{
  Common::WorkerId mName;
  Common::RackId mRack;
  Common::DataCentreId mDataCentre;
  std::vector<std::string> mLabels;
  Resources mTotalResources;
};

enum class Schedulability : std::uint8_t
{
  Schedulable,
  /// Leaving, silent or quarantined: gets no task.
  Unschedulable,
  /// Gets one task, and is closed again by it.
  Probe,
};

struct Reservation
{
  ReservationId mId = 0;
  Resources mNeed;
};

/// The part of a worker that placement reads for each candidate; small, so that the whole fleet
/// stays in the processor's cache.
struct WorkerHotState
{
  /// Free room in millicores and KiB, rounded down.
  std::uint32_t mFreeMilliCores = 0;
  std::uint32_t mFreeMemoryKib = 0;
  std::uint32_t mTotalMilliCores = 0;
  std::uint32_t mTotalMemoryKib = 0;
  std::uint16_t mFreeAccelerators = 0;
  std::uint16_t mRackNumber = 0;
  std::uint16_t mDataCentreNumber = 0;
  std::uint16_t mLabelClassNumber = 0;
  std::uint32_t mPositionInBucket = 0;
  std::uint16_t mBucketNumber = 0;
  Schedulability mSchedulability = Schedulability::Unschedulable;
  bool mIsCandidate = false;
};

/// The rest of a worker. What a reservation changes comes first and shares one cache line.
struct alignas(64) WorkerColdState
{
  /// Free room as reported, less the reservations.
  Resources mFreeResources;
  std::vector<Reservation> mReservations;
  std::uint32_t mPositionInClass = 0;
  WorkerAttributes mAttributes;
};

constexpr std::uint32_t kCoreLevels = 24;
constexpr std::uint32_t kMemoryLevels = 16;
constexpr std::uint32_t kAcceleratorLevels = 5;
constexpr std::uint32_t kBucketCount = kCoreLevels * kMemoryLevels * kAcceleratorLevels;

/// Open workers with the same set of labels.
struct LabelClass
{
  std::vector<std::string> mLabels;
  std::vector<WorkerNumber> mMembers;
  std::vector<std::vector<WorkerNumber>> mBuckets;
  /// Bit m of [accelerator level][core level] is set if the bucket of memory level m has members.
  std::array<std::array<std::uint16_t, kCoreLevels>, kAcceleratorLevels> mNonEmptyBuckets{};
};

struct WorkerIndex
{
  std::vector<WorkerHotState> mHotStates;
  std::vector<WorkerColdState> mColdStates;
  std::vector<WorkerNumber> mUnusedNumbers;
  std::unordered_map<Common::WorkerId, WorkerNumber> mWorkerNumbers;
  std::vector<LabelClass> mLabelClasses;
  std::unordered_map<std::string, std::uint16_t> mClassByLabels;
  /// Classes that have all labels of a query, by the joined labels.
  std::unordered_map<std::string, std::vector<std::uint16_t>> mMatchingClasses;
  std::unordered_map<Common::RackId, std::uint16_t> mRackNumbers;
  std::unordered_map<Common::DataCentreId, std::uint16_t> mDataCentreNumbers;
};

/// Adds a worker, or changes its labels, place and total. A new worker is open and wholly free.
WorkerNumber
SetWorker(WorkerIndex& aIndex, const WorkerAttributes& aAttributes);

void
RemoveWorker(WorkerIndex& aIndex, const Common::WorkerId& aName);

/// kNoWorker if the name is not known.
WorkerNumber
FindWorker(const WorkerIndex& aIndex, const Common::WorkerId& aName);

const Common::WorkerId&
WorkerName(const WorkerIndex& aIndex, WorkerNumber aWorker);

void
SetSchedulability(WorkerIndex& aIndex, WorkerNumber aWorker, Schedulability aSchedulability);

/// Takes the free room that the agent reported. aUnreported are the reservations of tasks which the
/// report does not contain yet; other reservations of the worker are dropped.
void
SetReportedFreeResources(WorkerIndex& aIndex,
                         WorkerNumber aWorker,
                         const Resources& aFree,
                         const std::vector<ReservationId>& aUnreported);

/// Reserves room on the worker, whether it fits or not; PlaceTask does this for its choice.
void
Reserve(WorkerIndex& aIndex,
        WorkerNumber aWorker,
        ReservationId aReservationId,
        const Resources& aNeed);

/// Gives a reservation back, for example after a refusal. Does nothing if there is none.
void
Release(WorkerIndex& aIndex, WorkerNumber aWorker, ReservationId aReservationId);

/// Free room after reservations.
Resources
FreeResources(const WorkerIndex& aIndex, WorkerNumber aWorker);

/// Number of a rack or data centre in the index; 0 if it is not known.
std::uint16_t
RackNumber(const WorkerIndex& aIndex, const Common::RackId& aRack);
std::uint16_t
DataCentreNumber(const WorkerIndex& aIndex, const Common::DataCentreId& aDataCentre);

/// Classes whose workers have all of aLabels.
const std::vector<std::uint16_t>&
MatchingClasses(WorkerIndex& aIndex, const std::vector<std::string>& aLabels);

/// Levels rise with the amount; each covers a factor of about 1.4 (cores) or 2 (memory).
std::uint32_t
CoreLevel(std::uint32_t aMilliCores);
std::uint32_t
MemoryLevel(std::uint32_t aMemoryKib);
std::uint32_t
AcceleratorLevel(std::uint32_t aCount);

constexpr std::uint32_t
BucketNumber(std::uint32_t aAcceleratorLevel, std::uint32_t aCoreLevel, std::uint32_t aMemoryLevel)
{
  return (aAcceleratorLevel * kCoreLevels + aCoreLevel) * kMemoryLevels + aMemoryLevel;
}

} // namespace Placement
