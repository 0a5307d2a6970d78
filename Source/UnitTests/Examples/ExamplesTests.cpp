#include <fstream>
#include <set>
#include <sstream>

#include <catch2/catch.hpp>

#include "Config/CommandLine.h"
#include "Config/Settings.h"
#include "Ibisctl/Command.h"
#include "Tables/Fields.h"
#include "Tables/Fleet.h"
#include "Tables/ParseTables.h"
#include "Tables/RouteIndex.h"

namespace {

std::string
FileText(const std::string& aPath)
{
  std::ifstream file(std::string(IBIS_ROOT) + '/' + aPath);
  REQUIRE(file.good());
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// A worker of the size that the design page gives, in each data centre.
std::vector<Tables::FleetWorker>
FleetOf(const std::vector<Common::DataCentreId>& aDataCentres)
{
  std::vector<Tables::FleetWorker> fleet;
  for (const Common::DataCentreId& dataCentre : aDataCentres) {
    Tables::FleetWorker worker;
    worker.mWorker = Common::WorkerId(dataCentre.str() + "-w1");
    worker.mDataCentre = dataCentre;
    worker.mLabels = { "service" };
    worker.mCapacity = {
      Common::Slots(8),
      Common::Connections(60),
      { Common::MilliCores(16000), Common::Bytes(60LL << 30), Common::Accelerators(2) }
    };
    fleet.push_back(std::move(worker));
  }
  return fleet;
}

Tables::TableSet
CheckExample(const std::string& aUser)
{
  const std::string folder = "examples/" + aUser + '/';
  std::vector<Common::DataCentreId> dataCentres;
  for (const char* name : { "entry.toml", "agent.toml" }) {
    const auto settings = Config::LoadSettings(FileText(folder + name), name);
    INFO((settings ? "" : settings.error().text()));
    REQUIRE(settings.has_value());
    dataCentres.clear();
    for (const Config::DataCentre& dataCentre : settings->mDataCentres) {
      dataCentres.push_back(dataCentre.mName);
    }
    REQUIRE(dataCentres.size() == 3);
  }
  Common::Findings warnings;
  const auto tables = Tables::ParseTables(FileText(folder + "routes.toml"),
                                          FileText(folder + "pools.toml"),
                                          { "routes.toml", "pools.toml", dataCentres },
                                          &warnings);
  INFO((tables ? "" : tables.error().text()));
  REQUIRE(tables.has_value());
  REQUIRE(warnings.text().empty());
  REQUIRE(Tables::CheckFleet(*tables, FleetOf(dataCentres), "pools.toml").text().empty());
  return *tables;
}

std::string
Matched(const Tables::TableSet& aTables,
        const std::string& aMethod,
        const std::string& aPath,
        const std::vector<Tables::RequestHeader>& aHeaders = {})
{
  const Tables::RouteIndex index = Tables::BuildRouteIndex(aTables);
  const Tables::Route* route = Tables::MatchRoute(aTables, index, "h", aPath, aMethod, aHeaders);
  return route == nullptr ? "" : route->mName.str();
}

/// The contents of the TOML blocks of a page.
std::vector<std::string>
TomlBlocks(const std::string& aPage)
{
  const std::string start = "```toml\n";
  std::vector<std::string> blocks;
  for (std::size_t at = aPage.find(start); at != std::string::npos; at = aPage.find(start, at)) {
    at += start.size();
    blocks.push_back(aPage.substr(at, aPage.find("```", at) - at));
  }
  return blocks;
}

/// The first cells of the table rows of a page that are code.
std::multiset<std::string>
KeyRows(const std::string& aPage)
{
  std::multiset<std::string> keys;
  for (std::size_t at = aPage.find("\n| `"); at != std::string::npos;
       at = aPage.find("\n| `", at + 1)) {
    const std::size_t start = at + 4;
    keys.insert(aPage.substr(start, aPage.find('`', start) - start));
  }
  return keys;
}

template<typename Item>
void
CollectKeys(const Item& aItem, std::multiset<std::string>& aKeys)
{
  for (const Tables::Field& field : Tables::FieldsOf(aItem)) {
    aKeys.insert(field.mSection.empty() ? field.mKey : field.mSection + '.' + field.mKey);
  }
}

} // namespace

TEST_CASE("The examples of user K are valid", "[Examples]")
{
  const Tables::TableSet tables = CheckExample("k");
  REQUIRE(Matched(tables, "POST", "/quotes/17") == "quick-quotes");
  REQUIRE(Matched(tables, "POST", "/quotes", { { "X-Quote-Kind", "bulk" } }) == "bulk-quotes");
  REQUIRE(Matched(tables, "POST", "/orders") == "orders");
}

TEST_CASE("The examples of user V are valid", "[Examples]")
{
  const Tables::TableSet tables = CheckExample("v");
  REQUIRE(Matched(tables, "POST", "/fittings") == "fittings");
  REQUIRE(Matched(tables, "GET", "/fittings/3") == "fittings-view");
  REQUIRE(Matched(tables, "DELETE", "/reservations/3") == "reservations");
  REQUIRE(Matched(tables, "PUT", "/loans/8") == "loan-records");
}

TEST_CASE("The page of the tables has a valid example and a row for each key", "[Examples]")
{
  const std::string page = FileText("docs/tables.md");
  const std::vector<std::string> blocks = TomlBlocks(page);
  REQUIRE(blocks.size() == 2);
  const auto tables = Tables::ParseTables(blocks[0], blocks[1]);
  INFO((tables ? "" : tables.error().text()));
  REQUIRE(tables.has_value());

  // The page's example sets every optional key, so that printing it names all keys.
  std::multiset<std::string> expected;
  std::set<std::string> ofRoutes;
  for (const Tables::Route& route : tables->mRoutes) {
    std::multiset<std::string> keys;
    CollectKeys(route, keys);
    ofRoutes.insert(keys.begin(), keys.end());
  }
  expected.insert(ofRoutes.begin(), ofRoutes.end());
  CollectKeys(tables->mPools[0], expected);
  CollectKeys(tables->mTeams[0], expected);
  CollectKeys(tables->mClients[0], expected);
  REQUIRE(KeyRows(page) == expected);
}

TEST_CASE("The page of ibisctl names every command and option", "[Examples]")
{
  const std::string page = FileText("docs/ibisctl.md");
  for (const auto& group : { Ibisctl::CheckCommands(),
                             Ibisctl::TablesCommands(),
                             Ibisctl::TablesEditCommands(),
                             Ibisctl::JobsCommands(),
                             Ibisctl::FleetCommands() }) {
    for (const Ibisctl::Command& command : group) {
      INFO(command.mName);
      REQUIRE(page.find('`' + command.mName) != std::string::npos);
      for (const Ibisctl::OptionSpec& option : command.mOptions) {
        INFO(option.mName);
        REQUIRE(page.find("--" + option.mName) != std::string::npos);
      }
    }
  }
}

TEST_CASE("The page of ibisshedd names every option of its help", "[Examples]")
{
  const std::string page = FileText("docs/ibisshedd.md");
  std::istringstream help(Config::CommandLineHelp());
  std::size_t options = 0;
  for (std::string line; std::getline(help, line);) {
    if (line.starts_with("  --")) {
      const std::string name = line.substr(2, line.find(' ', 2) - 2);
      INFO(name);
      REQUIRE(page.find("| `" + name) != std::string::npos);
      ++options;
    }
  }
  REQUIRE(options == 6);
}
