#include <nlohmann/json.hpp>

#include "Common/Text.h"
#include "Ibisctl/Command.h"
#include "Ibisctl/LogTrace.h"
#include "Ibisctl/Trace.h"

namespace Ibisctl {

namespace {

using nlohmann::json;

/// Positional arguments of a trace: the id and the logs of some hundred processes.
constexpr std::size_t kMaxLogs = 1'000;

/// A command that prints one list of the server.
std::function<int(Session&)>
ListOf(std::string aPath, std::vector<std::string> aColumns)
{
  return [path = std::move(aPath), columns = std::move(aColumns)](Session& aSession) {
    const auto answer = Ask(aSession, "GET", path);
    if (!answer) {
      return answer.error();
    }
    PrintList(aSession, *answer, path, columns);
    return kSuccess;
  };
}

/// Prints the answer to an order as JSON, or aText.
int
ReportDone(Session& aSession, const json& aAnswer, const std::string& aText)
{
  if (aSession.mJson) {
    PrintObject(aSession, aAnswer, {});
  } else {
    aSession.mOut << aText << '\n';
  }
  return kSuccess;
}

int
DeclareLost(Session& aSession)
{
  const std::string cell = aSession.mArguments.mPositional[0];
  if (!aSession.mArguments.has("yes")) {
    return UsageError(aSession,
                      "tasks of cell \"" + cell +
                        "\" would start elsewhere although they may still run there; if all of its "
                        "workers are down for certain, repeat the command with --yes");
  }
  const auto answer = Ask(aSession, "POST", "cells/declare-lost", json{ { "cell", cell } }.dump());
  return answer ? ReportDone(aSession, *answer, "cell " + cell + " is declared lost")
                : answer.error();
}

int
Drain(Session& aSession)
{
  const std::string instance = aSession.mArguments.mPositional[0];
  const bool on = !aSession.mArguments.has("off");
  const auto answer =
    Ask(aSession, "POST", "drain", json{ { "instance", instance }, { "on", on } }.dump());
  return answer
           ? ReportDone(aSession, *answer, instance + (on ? " is draining" : " takes work again"))
           : answer.error();
}

/// What the log files say about the id of a job, task or worker.
int
TraceLogs(Session& aSession)
{
  std::vector<LogText> logs;
  const std::vector<std::string>& arguments = aSession.mArguments.mPositional;
  for (std::size_t i = 1; i < arguments.size(); ++i) {
    auto text = ReadFile(arguments[i]);
    if (!text) {
      aSession.mError << "ibisctl: " << text.error() << '\n';
      return kUsage;
    }
    logs.push_back({ arguments[i], std::move(*text) });
  }
  const std::string text = RenderLogTrace(logs, arguments[0]);
  if (text.empty()) {
    aSession.mError << "ibisctl: no line names \"" << arguments[0] << "\"\n";
    return kNegative;
  }
  aSession.mOut << text;
  return kSuccess;
}

int
ShowTrace(Session& aSession)
{
  if (aSession.mArguments.mPositional.size() > 1) {
    return TraceLogs(aSession);
  }
  const std::string id = aSession.mArguments.mPositional[0];
  const auto answer = Ask(aSession, "GET", "traces/" + Common::PercentEncoded(id));
  if (!answer) {
    return answer.error();
  }
  if (aSession.mJson) {
    PrintObject(aSession, *answer, {});
  } else {
    aSession.mOut << RenderTrace(*answer);
  }
  return kSuccess;
}

} // namespace

std::vector<Command>
FleetCommands()
{
  return {
    { "workers",
      "",
      "list the workers",
      0,
      0,
      {},
      ListOf(
        "workers",
        { "worker", "instance", "data_centre", "rack", "state", "running_tasks", "revision" }) },
    { "endpoints",
      "",
      "list the endpoints",
      0,
      0,
      {},
      ListOf("endpoints",
             { "endpoint", "pool", "worker", "address", "slots", "connections", "leaving" }) },
    { "cells",
      "",
      "list the cells with their owners",
      0,
      0,
      {},
      ListOf("cells", { "cell", "owner", "address", "epoch", "state" }) },
    { "cells declare-lost",
      "CELL",
      "let the tasks of a cell that is down start elsewhere",
      1,
      1,
      { { "yes", "", "all workers of the cell are down for certain" } },
      &DeclareLost },
    { "usage",
      "",
      "list the metered use",
      0,
      0,
      {},
      ListOf("usage",
             { "team", "client", "route", "price_micro", "count", "slot_ms", "core_ms" }) },
    { "trace",
      "ID [LOG]...",
      "print the spans of a trace, or the lines of log files that name an id",
      1,
      kMaxLogs,
      {},
      &ShowTrace },
    { "drain",
      "INSTANCE",
      "let an instance finish its work and take no more",
      1,
      1,
      { { "off", "", "let it take work again" } },
      &Drain },
  };
}

} // namespace Ibisctl
