#include "Common/RequestName.h"

#include <charconv>
#include <string_view>

namespace Common {

namespace {

template<typename Number>
std::optional<Number>
TakeLastNumber(std::string_view& aText)
{
  const std::size_t slash = aText.rfind('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = aText.substr(slash + 1);
  Number number{};
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (error != std::errc{} || end != digits.data() + digits.size() || digits.empty()) {
    return std::nullopt;
  }
  aText = aText.substr(0, slash);
  return number;
}

} // namespace

RequestId
FormatRequestId(const RequestName& aName)
{
  return RequestId(aName.mEntry.str() + '/' + std::to_string(aName.mIncarnation.value()) + '/' +
                   std::to_string(aName.mSequence) + '/' + std::to_string(aName.mAttempt));
}

std::optional<RequestName>
ParseRequestId(const RequestId& aId)
{
  std::string_view text = aId.str();
  const auto attempt = TakeLastNumber<std::uint32_t>(text);
  const auto sequence = attempt ? TakeLastNumber<std::uint64_t>(text) : std::nullopt;
  const auto incarnation = sequence ? TakeLastNumber<std::int64_t>(text) : std::nullopt;
  if (!incarnation || text.empty()) {
    return std::nullopt;
  }
  return RequestName{
    InstanceId(std::string(text)), Incarnation(*incarnation), *sequence, *attempt
  };
}

} // namespace Common
