#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "Common/Random.h"
#include "Placement/WorkerIndex.h"

/// Chooses a worker for one task.
namespace Placement {

/// Number of tasks of the same job that are already placed in a rack.
struct RackTaskCount
{
  /// As returned by RackNumber.
  std::uint16_t mRackNumber = 0;
  std::uint16_t mTaskCount = 0;
};

/// Requirements and preferences of the task that is to be placed.
struct TaskRequest
{
  /// Identifies the reservation that a successful placement makes.
  ReservationId mReservationId = 0;
  Resources mNeed;
  /// Labels that the worker must have, all of them.
  std::span<const std::string> mLabels;
  /// Racks that already hold tasks of the job; a rack that is missing here counts as 0.
  std::span<const RackTaskCount> mJobTasksPerRack;
  /// Number of the data centre that holds the task's input or checkpoint; 0 means no preference.
  std::uint16_t mPreferredDataCentre = 0;
  /// Returns the expected slow-down on a worker: 0 for none, 1 for twice the run time. A null
  /// pointer leaves interference out of the cost.
  const std::function<double(WorkerNumber)>* mInterferenceCost = nullptr;
};

/// Weights of the terms that add up to the cost of a candidate. The candidate with the lowest cost
/// is chosen. The comment of each weight describes its term; the value of a term is about 0 to 1.
struct CostWeights
{
  /// Average of the shares of the worker's cores and memory that stay free. Filling workers up
  /// leaves whole workers free for large tasks.
  float mPacking = 1.0F;
  /// Difference between the share of cores and the share of memory that stay free. If one runs out
  /// first, the rest of the other cannot be used.
  float mBalance = 0.5F;
  /// n / (n + 1), where n is the number of tasks of the job that are already in the rack.
  float mRackSpread = 0.3F;
  /// 1 if the worker is outside the preferred data centre.
  float mLocality = 0.4F;
  /// Result of TaskRequest::mInterferenceCost.
  float mInterference = 1.5F;
};

struct PlacementPolicy
{
  /// Sampling ends once this many candidates with room were drawn. Each matching label class gets
  /// an equal share of the draws, but at least two. Half are drawn from the buckets with the least
  /// free resources that still suffice, and half at random.
  std::uint32_t mCandidateCount = 8;
  /// Maximum number of workers that one placement examines in turn if no sampled candidate had
  /// room. It exceeds the number of workers in a cell, so that the search of a cell is complete.
  std::uint32_t mSearchBudget = 512;
  CostWeights mWeights;
};

/// Chooses a worker with room for the need among sampled candidates and reserves the need there.
/// Returns std::nullopt if no worker was found.
std::optional<WorkerNumber>
PlaceTask(WorkerIndex& aIndex,
          const TaskRequest& aRequest,
          const PlacementPolicy& aPolicy,
          Common::Random& aRandom);

/// As PlaceTask, but considers every worker of the index. The benchmark measures PlaceTask against
/// it.
std::optional<WorkerNumber>
PlaceByScan(WorkerIndex& aIndex, const TaskRequest& aRequest, const PlacementPolicy& aPolicy);

} // namespace Placement
