#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Hashes that are the same in every process and release.
namespace Common {

/// 64-bit xxHash of the bytes.
std::uint64_t
HashBytes(std::string_view aBytes, std::uint64_t aSeed = 0);

/// 16 lower-case hexadecimal digits.
std::string
HashText(std::uint64_t aHash);

/// The member of aNames with the highest hash together with aKey (rendezvous hashing); the order of
/// aNames does not matter. Returns "" if there are no names.
std::string
RendezvousChoice(std::string_view aKey, const std::vector<std::string>& aNames);

} // namespace Common
