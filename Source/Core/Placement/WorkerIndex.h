#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Ids.h"
#include "Common/Units.h"

/// Indexes workers by labels and free resources, so that placement can sample candidates.
namespace Placement {

using Common::Resources;

/// Number of a worker in one index; it is reused after the worker is removed.
using WorkerNumber = std::uint32_t;
constexpr WorkerNumber kNoWorker = UINT32_MAX;

/// Identifies a reservation; the caller derives it from the task and the attempt.
using ReservationId = std::uint64_t;

/// Attributes of a worker that do not depend on its tasks.
struct WorkerAttributes
{
  Common::WorkerId mName;
  Common::RackId mRack;
  Common::DataCentreId mDataCentre;
  std::vector<std::string> mLabels;
  Resources mTotalResources;
};

/// Says whether a worker may be given tasks.
enum class Schedulability : std::uint8_t
{
  Schedulable,
  /// Gets no task, because it is leaving, silent or quarantined.
  Unschedulable,
  /// Gets one task and becomes unschedulable with it.
  Probe,
};

/// Resources that are held for a placed task until the agent reports them as used.
struct Reservation
{
  ReservationId mId = 0;
  Resources mNeed;
};

/// The part of a worker's state that placement reads for each candidate. It is small, so that the
/// whole fleet stays in the processor's cache.
struct WorkerHotState
{
  /// Free resources are rounded down; negative amounts are stored as 0.
  std::uint32_t mFreeMilliCores = 0;
  std::uint32_t mFreeMemoryKib = 0;
  /// At least 1, because shares are computed by dividing by them.
  std::uint32_t mTotalMilliCores = 0;
  std::uint32_t mTotalMemoryKib = 0;
  std::uint16_t mFreeAccelerators = 0;
  /// As returned by RackNumber and DataCentreNumber; 0 if the worker has no rack or data centre.
  std::uint16_t mRackNumber = 0;
  std::uint16_t mDataCentreNumber = 0;
  /// Position of the class in WorkerIndex::mLabelClasses.
  std::uint16_t mLabelClassNumber = 0;
  std::uint32_t mPositionInBucket = 0;
  std::uint16_t mBucketNumber = 0;
  Schedulability mSchedulability = Schedulability::Unschedulable;
  /// True if the worker is listed in its label class and in a bucket.
  bool mIsCandidate = false;
};

/// The rest of a worker's state. The fields that a reservation changes come first and share one
/// cache line.
struct alignas(64) WorkerColdState
{
  /// Free resources as reported, less the reservations.
  Resources mFreeResources;
  std::vector<Reservation> mReservations;
  std::uint32_t mPositionInClass = 0;
  WorkerAttributes mAttributes;
};

/// Numbers of levels of free resources. Workers with the same three levels share a bucket.
constexpr std::uint32_t kCoreLevels = 24;
constexpr std::uint32_t kMemoryLevels = 16;
constexpr std::uint32_t kAcceleratorLevels = 5;
constexpr std::uint32_t kBucketCount = kCoreLevels * kMemoryLevels * kAcceleratorLevels;

/// The workers that may be given tasks and have the same set of labels.
struct LabelClass
{
  std::vector<std::string> mLabels;
  std::vector<WorkerNumber> mMembers;
  /// By BucketNumber.
  std::vector<std::vector<WorkerNumber>> mBuckets;
  /// Bit m of [accelerator level][core level] is set if the bucket of memory level m is not empty.
  std::array<std::array<std::uint16_t, kCoreLevels>, kAcceleratorLevels> mNonEmptyBuckets{};
};

/// Workers by number and, for placement, by label class and bucket.
struct WorkerIndex
{
  /// By WorkerNumber; a removed worker leaves an empty entry.
  std::vector<WorkerHotState> mHotStates;
  std::vector<WorkerColdState> mColdStates;
  /// Numbers of removed workers.
  std::vector<WorkerNumber> mUnusedNumbers;
  std::unordered_map<Common::WorkerId, WorkerNumber> mWorkerNumbers;
  std::vector<LabelClass> mLabelClasses;
  /// Positions in mLabelClasses, by the joined labels.
  std::unordered_map<std::string, std::uint16_t> mClassByLabels;
  /// Cached results of MatchingClasses, by the joined labels; cleared when a class is added.
  std::unordered_map<std::string, std::vector<std::uint16_t>> mMatchingClasses;
  /// Numbers of racks and data centres, from 1.
  std::unordered_map<Common::RackId, std::uint16_t> mRackNumbers;
  std::unordered_map<Common::DataCentreId, std::uint16_t> mDataCentreNumbers;
};

/// Adds a worker, or changes its labels, rack, data centre and total resources. A new worker is
/// schedulable, and all of its resources are free.
WorkerNumber
SetWorker(WorkerIndex& aIndex, const WorkerAttributes& aAttributes);

/// Does nothing if the name is not known.
void
RemoveWorker(WorkerIndex& aIndex, const Common::WorkerId& aName);

/// Returns kNoWorker if the name is not known.
WorkerNumber
FindWorker(const WorkerIndex& aIndex, const Common::WorkerId& aName);

const Common::WorkerId&
WorkerName(const WorkerIndex& aIndex, WorkerNumber aWorker);

void
SetSchedulability(WorkerIndex& aIndex, WorkerNumber aWorker, Schedulability aSchedulability);

/// Sets the free resources to those that the agent reported, less the reservations that stay.
/// aUnreported lists the reservations whose tasks the report does not count yet. Only these stay;
/// the other reservations of the worker are dropped.
void
SetReportedFreeResources(WorkerIndex& aIndex,
                         WorkerNumber aWorker,
                         const Resources& aFree,
                         const std::vector<ReservationId>& aUnreported);

/// Reserves resources on the worker even if they do not fit; PlaceTask calls it for the worker that
/// it chooses. A worker on probe becomes unschedulable.
void
Reserve(WorkerIndex& aIndex,
        WorkerNumber aWorker,
        ReservationId aReservationId,
        const Resources& aNeed);

/// Frees the resources of a reservation, for example after the worker refused the task. Does
/// nothing if there is no such reservation.
void
Release(WorkerIndex& aIndex, WorkerNumber aWorker, ReservationId aReservationId);

/// Returns the free resources less the reservations; negative if more was reserved than was free.
Resources
FreeResources(const WorkerIndex& aIndex, WorkerNumber aWorker);

/// Returns the number of a rack or data centre in the index, or 0 if it is not known.
std::uint16_t
RackNumber(const WorkerIndex& aIndex, const Common::RackId& aRack);
std::uint16_t
DataCentreNumber(const WorkerIndex& aIndex, const Common::DataCentreId& aDataCentre);

/// Returns the positions in mLabelClasses of the classes whose workers have all of aLabels. The
/// reference is valid until a worker with a new set of labels is added.
const std::vector<std::uint16_t>&
MatchingClasses(WorkerIndex& aIndex, const std::vector<std::string>& aLabels);

/// Return the level of an amount; larger amounts have higher levels. The upper bound of a level is
/// about 1.4 times (cores) or 2 times (memory and accelerators) its lower bound. The lowest level
/// starts at 0, and the highest has no upper bound.
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
