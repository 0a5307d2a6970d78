#include <array>
#include <iostream>
#include <sstream>
#include <string>

#include <getopt.h>

#include "Demo/Audit.h"
#include "Demo/Traffic.h"

namespace {

std::vector<std::string>
SplitCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  std::stringstream stream(aText);
  std::string part;
  while (std::getline(stream, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

constexpr std::array<option, 7> kOptions = { { { "entries", required_argument, nullptr, 'e' },
                                               { "seconds", required_argument, nullptr, 's' },
                                               { "jobs", required_argument, nullptr, 'j' },
                                               { "result", required_argument, nullptr, 'r' },
                                               { "endpoints", required_argument, nullptr, 'p' },
                                               { "workers", required_argument, nullptr, 'w' },
                                               { nullptr, 0, nullptr, 0 } } };

} // namespace

int
main(int aCount, char** aArguments)
{
  Demo::TrafficOptions traffic;
  Demo::AuditOptions audit;
  int found = 0;
  while ((found = ::getopt_long(aCount, aArguments, "", kOptions.data(), nullptr)) != -1) {
    switch (found) {
      case 'e':
        traffic.mEntries = SplitCommas(optarg);
        break;
      case 's':
        traffic.mSeconds = std::stoi(optarg);
        break;
      case 'j':
        traffic.mJobs = std::stoi(optarg);
        break;
      case 'r':
        traffic.mResultFile = optarg;
        audit.mResultFile = optarg;
        break;
      case 'p':
        audit.mEndpoints = SplitCommas(optarg);
        break;
      case 'w':
        audit.mWorkers = SplitCommas(optarg);
        break;
      default:
        return 2;
    }
  }
  const std::string command = optind < aCount ? aArguments[optind] : "";
  if (command == "traffic" && !traffic.mEntries.empty() && !traffic.mResultFile.empty()) {
    return Demo::RunTraffic(traffic) ? 0 : 1;
  }
  if (command == "audit" && !audit.mResultFile.empty()) {
    return Demo::RunAudit(audit) ? 0 : 1;
  }
  std::cerr << "usage: ibisdemo traffic --entries A,B --result FILE [--seconds N] [--jobs N]\n"
               "       ibisdemo audit --result FILE --endpoints A,B --workers A,B\n";
  return 2;
}
