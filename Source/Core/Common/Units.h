#pragma once

#include <compare>
#include <cstdint>

/// Strong types for amounts and counters. Arithmetic is only defined between amounts of one unit.
namespace Common {

/// A whole number of one unit.
template<typename Tag>
struct Quantity
{
  std::int64_t mValue = 0;

  constexpr Quantity() = default;
  constexpr explicit Quantity(std::int64_t aValue)
    : mValue(aValue)
  {
  }

  constexpr std::int64_t value() const { return mValue; }
  constexpr auto operator<=>(const Quantity&) const = default;
  constexpr Quantity& operator+=(Quantity aOther)
  {
    mValue += aOther.mValue;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity aOther)
  {
    mValue -= aOther.mValue;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity aLeft, Quantity aRight) { return aLeft += aRight; }
  friend constexpr Quantity operator-(Quantity aLeft, Quantity aRight) { return aLeft -= aRight; }
  friend constexpr Quantity operator*(Quantity aLeft, std::int64_t aFactor)
  {
    return Quantity(aLeft.mValue * aFactor);
  }
};

using Bytes = Quantity<struct BytesTag>;
/// Bytes in a MiB.
inline constexpr std::int64_t kMib = 1 << 20;
/// Thousandths of a processor core.
using MilliCores = Quantity<struct MilliCoresTag>;
using Accelerators = Quantity<struct AcceleratorsTag>;
/// Requests that a worker's endpoint serves at one time.
using Slots = Quantity<struct SlotsTag>;
using Connections = Quantity<struct ConnectionsTag>;
/// Millionths of the operator's currency.
using MicroPrice = Quantity<struct MicroPriceTag>;

/// Number of a joint revision of the routes and pools tables; 0 means none.
using Revision = Quantity<struct RevisionTag>;
/// Fencing number of a cell's ownership; it rises by one with each takeover.
using Epoch = Quantity<struct EpochTag>;
/// Number of one start of a process; a later start of the same instance has a higher one.
using Incarnation = Quantity<struct IncarnationTag>;
/// Number of one start of a task; the first is 1.
using Attempt = Quantity<struct AttemptTag>;

/// What a task or request takes of a worker, or what a worker has.
struct Resources
{
  MilliCores mCores;
  Bytes mMemory;
  Accelerators mAccelerators;

  bool operator==(const Resources&) const = default;
};

/// True if each part of aNeed is at most the part of aFree.
constexpr bool
Fits(const Resources& aNeed, const Resources& aFree)
{
  return aNeed.mCores <= aFree.mCores && aNeed.mMemory <= aFree.mMemory &&
         aNeed.mAccelerators <= aFree.mAccelerators;
}

constexpr Resources
operator+(const Resources& aLeft, const Resources& aRight)
{
  return { aLeft.mCores + aRight.mCores,
           aLeft.mMemory + aRight.mMemory,
           aLeft.mAccelerators + aRight.mAccelerators };
}

constexpr Resources
operator-(const Resources& aLeft, const Resources& aRight)
{
  return { aLeft.mCores - aRight.mCores,
           aLeft.mMemory - aRight.mMemory,
           aLeft.mAccelerators - aRight.mAccelerators };
}

} // namespace Common
