#include "Node/Ports.h"

namespace Node {

bool
AreDifferentLifetimes(Scheduling::LifetimeStart aFirst, Scheduling::LifetimeStart aSecond)
{
  return aFirst.value() != 0 && aSecond.value() != 0 && aFirst != aSecond;
}

std::string_view
ResponseKindText(JobResponse::Kind aKind)
{
  switch (aKind) {
    case JobResponse::Kind::Accepted:
      return "accepted";
    case JobResponse::Kind::State:
      return "state";
    case JobResponse::Kind::Pending:
      return "pending";
    case JobResponse::Kind::Cancelled:
      return "cancelled";
    case JobResponse::Kind::UnknownJob:
      return "unknown_job";
    case JobResponse::Kind::NoRoute:
      return "no_route";
    case JobResponse::Kind::Invalid:
      return "invalid";
    case JobResponse::Kind::Overloaded:
      return "overloaded";
    case JobResponse::Kind::Unavailable:
      return "unavailable";
    case JobResponse::Kind::Undecided:
      return "undecided";
    case JobResponse::Kind::NotAllowed:
      break;
  }
  return "not_allowed";
}

} // namespace Node
