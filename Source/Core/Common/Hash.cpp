#include "Common/Hash.h"

#include <xxhash.h>

namespace Common {

std::uint64_t
HashBytes(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

std::string
HashText(std::uint64_t aHash)
{
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (int i = 15; i >= 0; --i) {
    text[static_cast<std::size_t>(i)] = kDigits[aHash & 0xf];
    aHash >>= 4;
  }
  return text;
}

std::string
RendezvousChoice(std::string_view aKey, const std::vector<std::string>& aNames)
{
  std::string choice;
  std::uint64_t best = 0;
  const std::uint64_t seed = HashBytes(aKey);
  for (const std::string& name : aNames) {
    const std::uint64_t weight = HashBytes(name, seed);
    if (choice.empty() || weight > best || (weight == best && name < choice)) {
      best = weight;
      choice = name;
    }
  }
  return choice;
}

} // namespace Common
