#include "Config/Settings.h"

#include <algorithm>
#include <tuple>

#include "Common/Names.h"
#include "Config/Keys.h"

namespace Config {

namespace {

using Common::Findings;
using Toml::TableReader;
using Toml::Value;

/// State of one load over all layers.
struct Load
{
  Settings mSettings;
  Origins mOrigins;
  Findings mFindings;
};

/// Reads the keys of one section of one layer.
void
ReadSection(TableReader& aReader, const std::string& aSection, Load& aLoad)
{
  for (const Key& key : ScalarKeys()) {
    if (key.mSection != aSection) {
      continue;
    }
    if (aReader.has(key.mName)) {
      const std::string name = aSection.empty() ? key.mName : aSection + '.' + key.mName;
      aLoad.mOrigins[name] = aReader.place(key.mName);
    }
    key.mRead(aReader, key.mName, aLoad.mSettings);
  }
}

/// Reads a required name of an item of a list.
std::string
ReadItemName(TableReader& aReader, const std::string& aKey)
{
  const auto text = aReader.text(aKey);
  aReader.missing(aKey);
  if (text && !Common::IsName(*text)) {
    aReader.error(aKey, "key \"" + aKey + "\" must be 1 to 64 letters, digits, '.', '_' and '-'");
  }
  return text.value_or("");
}

std::vector<DataCentre>
ReadDataCentres(const std::vector<const Value*>& aItems, const std::string& aFile, Load& aLoad)
{
  std::vector<DataCentre> list;
  for (const Value* item : aItems) {
    TableReader reader(*item, aFile, "data_centre", aLoad.mFindings);
    DataCentre dataCentre;
    dataCentre.mName = Common::DataCentreId(ReadItemName(reader, "name"));
    dataCentre.mRegion = Common::RegionId(ReadItemName(reader, "region"));
    reader.finish();
    const auto sameName = [&](const DataCentre& aOther) {
      return aOther.mName == dataCentre.mName;
    };
    if (std::any_of(list.begin(), list.end(), sameName)) {
      reader.error("name", "data centre \"" + dataCentre.mName.str() + "\" is listed twice");
    }
    list.push_back(std::move(dataCentre));
  }
  return list;
}

std::vector<Peer>
ReadPeers(const std::vector<const Value*>& aItems, const std::string& aFile, Load& aLoad)
{
  std::vector<Peer> list;
  for (const Value* item : aItems) {
    TableReader reader(*item, aFile, "peer", aLoad.mFindings);
    Peer peer;
    peer.mName = Common::InstanceId(ReadItemName(reader, "name"));
    peer.mDataCentre = Common::DataCentreId(ReadItemName(reader, "data_centre"));
    peer.mRegion = Common::RegionId(ReadItemName(reader, "region"));
    peer.mAddress = reader.text("address").value_or("");
    reader.missing("address");
    if (reader.has("address") && !IsSocketAddress(peer.mAddress)) {
      reader.error("address", "key \"address\" must be a numeric IP address with a port");
    }
    reader.finish();
    const auto sameName = [&](const Peer& aOther) { return aOther.mName == peer.mName; };
    if (std::any_of(list.begin(), list.end(), sameName)) {
      reader.error("name", "peer \"" + peer.mName.str() + "\" is listed twice");
    }
    aLoad.mOrigins["peer." + peer.mName.str()] = reader.place();
    list.push_back(std::move(peer));
  }
  return list;
}

/// Reads one layer over the settings so far.
void
ReadLayer(const Value& aRoot, const std::string& aFile, Load& aLoad)
{
  TableReader root(aRoot, aFile, "settings", aLoad.mFindings);
  ReadSection(root, "", aLoad);
  std::vector<std::string> sections;
  for (const Key& key : ScalarKeys()) {
    if (!key.mSection.empty() &&
        std::find(sections.begin(), sections.end(), key.mSection) == sections.end()) {
      sections.push_back(key.mSection);
    }
  }
  for (const std::string& section : sections) {
    if (const Value* table = root.table(section)) {
      TableReader reader(*table, aFile, section, aLoad.mFindings);
      ReadSection(reader, section, aLoad);
      reader.finish();
    }
  }
  const auto dataCentres = root.tables("data_centre");
  if (root.has("data_centre")) {
    aLoad.mSettings.mDataCentres = ReadDataCentres(dataCentres, aFile, aLoad);
    aLoad.mOrigins["data_centre"] = root.place("data_centre");
  }
  const auto peers = root.tables("peer");
  if (root.has("peer")) {
    aLoad.mSettings.mPeers = ReadPeers(peers, aFile, aLoad);
  }
  root.finish();
}

/// The value of an override: TOML if it is one value, otherwise a string.
Value
ParseOverrideValue(const std::string& aText)
{
  auto document = Toml::ParseDocument("value = " + aText, "--set");
  if (document) {
    auto& members = std::get<Toml::Table>(document->mData);
    if (members.size() == 1) {
      return std::move(members.front().mValue);
    }
  }
  Value text;
  text.mData = aText;
  return text;
}

/// Gives aValue and all values in it one position.
void
SetPosition(Value& aValue, Toml::Position aPosition)
{
  aValue.mPosition = aPosition;
  if (auto* items = std::get_if<Toml::Array>(&aValue.mData)) {
    for (Value& item : *items) {
      SetPosition(item, aPosition);
    }
  } else if (auto* members = std::get_if<Toml::Table>(&aValue.mData)) {
    for (Toml::Member& member : *members) {
      member.mPosition = aPosition;
      SetPosition(member.mValue, aPosition);
    }
  }
}

void
ReadOverride(const std::string& aOverride, std::uint32_t aNumber, Load& aLoad)
{
  const Toml::Position position{ aNumber, 1 };
  const std::string file = "--set";
  const std::size_t equals = aOverride.find('=');
  const Common::Finding invalid = Toml::CheckText(aOverride, file, {});
  if (equals == std::string::npos || equals == 0 || !invalid.mMessage.empty()) {
    aLoad.mFindings.error({ file, position.mLine, position.mColumn },
                          invalid.mMessage.empty()
                            ? "an override must have the form section.key=value"
                            : invalid.mMessage);
    return;
  }
  Value value = ParseOverrideValue(aOverride.substr(equals + 1));
  // Wrapped from the inside out: "a.b=1" becomes { a = { b = 1 } }.
  std::string path = aOverride.substr(0, equals);
  for (;;) {
    const std::size_t dot = path.rfind('.');
    Value table;
    table.mData = Toml::Table{ { path.substr(dot + 1), position, std::move(value) } };
    value = std::move(table);
    if (dot == std::string::npos) {
      break;
    }
    path.resize(dot);
  }
  SetPosition(value, position);
  ReadLayer(value, file, aLoad);
}

/// The findings of the file by line, then those of the overrides.
Findings
SortedByPlace(const Findings& aFindings)
{
  std::vector<Common::Finding> items = aFindings.items();
  const auto rank = [](const Common::Finding& aFinding) {
    const Common::Place& place = aFinding.mPlace;
    return std::make_tuple(place.mFile == "--set", place.mLine, place.mColumn);
  };
  std::stable_sort(
    items.begin(), items.end(), [&](const Common::Finding& aLeft, const Common::Finding& aRight) {
      return rank(aLeft) < rank(aRight);
    });
  Findings sorted;
  for (Common::Finding& finding : items) {
    sorted.error(std::move(finding.mPlace), std::move(finding.mMessage));
  }
  return sorted;
}

} // namespace

tl::expected<Settings, Findings>
LoadSettings(std::string_view aText,
             const std::string& aFile,
             const std::vector<std::string>& aOverrides)
{
  Load load;
  const auto document = Toml::ParseDocument(aText, aFile);
  if (document) {
    ReadLayer(*document, aFile, load);
  } else {
    load.mFindings.error(document.error().mPlace, document.error().mMessage);
  }
  for (std::size_t i = 0; i < aOverrides.size(); ++i) {
    ReadOverride(aOverrides[i], static_cast<std::uint32_t>(i + 1), load);
  }
  // Without the file, every required key would be reported as missing.
  if (document) {
    CheckSettings(load.mSettings, load.mOrigins, aFile, load.mFindings);
  }
  if (load.mFindings.hasErrors()) {
    return tl::unexpected(SortedByPlace(load.mFindings));
  }
  if (load.mSettings.mListen.mAdvertiseAddress.empty()) {
    load.mSettings.mListen.mAdvertiseAddress = load.mSettings.mListen.mAddress;
  }
  return load.mSettings;
}

} // namespace Config
