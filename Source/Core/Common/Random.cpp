#include "Common/Random.h"

namespace Common {

std::uint64_t
Random::next()
{
  mState += 0x9e3779b97f4a7c15ULL;
  std::uint64_t value = mState;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

std::uint64_t
Random::below(std::uint64_t aBound)
{
  if (aBound == 0) {
    return 0;
  }
  __extension__ using Wide = unsigned __int128;
  return static_cast<std::uint64_t>((static_cast<Wide>(next()) * aBound) >> 64);
}

double
Random::unit()
{
  return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

} // namespace Common
