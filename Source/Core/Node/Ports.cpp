#include "Node/Ports.h"

namespace Node {

std::string_view
KindText(CallerAnswer::Kind aKind)
{
  switch (aKind) {
    case CallerAnswer::Kind::Accepted:
      return "accepted";
    case CallerAnswer::Kind::State:
      return "state";
    case CallerAnswer::Kind::Pending:
      return "pending";
    case CallerAnswer::Kind::Cancelled:
      return "cancelled";
    case CallerAnswer::Kind::Unknown:
      return "unknown_job";
    case CallerAnswer::Kind::NoRoute:
      return "no_route";
    case CallerAnswer::Kind::Invalid:
      return "invalid";
    case CallerAnswer::Kind::Overloaded:
      return "overloaded";
    case CallerAnswer::Kind::Unavailable:
      return "unavailable";
    case CallerAnswer::Kind::Undecided:
      return "undecided";
    case CallerAnswer::Kind::NotAllowed:
      break;
  }
  return "not_allowed";
}

} // namespace Node
