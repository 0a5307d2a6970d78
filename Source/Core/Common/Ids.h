#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

/// Strong types for the names of things. Two ids of different kinds never compare or convert.
namespace Common {

/// A name of one kind of thing. The text is not interpreted; an empty id means "none".
template<typename Tag>
class Id
{
public:
  Id() = default;
  explicit Id(std::string aText)
    : mText(std::move(aText))
  {
  }

  const std::string& str() const { return mText; }
  bool empty() const { return mText.empty(); }
  auto operator<=>(const Id&) const = default;

private:
  std::string mText;
};

using WorkerId = Id<struct WorkerTag>;
using DataCentreId = Id<struct DataCentreTag>;
using RegionId = Id<struct RegionTag>;
using RackId = Id<struct RackTag>;
using CellId = Id<struct CellTag>;
using ClientId = Id<struct ClientTag>;
using TeamId = Id<struct TeamTag>;
using RouteId = Id<struct RouteTag>;
using PoolId = Id<struct PoolTag>;
using EndpointId = Id<struct EndpointTag>;
using JobId = Id<struct JobTag>;
using TaskId = Id<struct TaskTag>;
using RequestId = Id<struct RequestTag>;
using IdempotencyKey = Id<struct IdempotencyKeyTag>;

/// The name of one ibisshedd process slot (entry or agent); it is kept across restarts.
using InstanceId = Id<struct InstanceTag>;

} // namespace Common

template<typename Tag>
struct std::hash<Common::Id<Tag>>
{
  std::size_t operator()(const Common::Id<Tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.str());
  }
};
