#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Config/Settings.h"
#include "Toml/TableReader.h"

namespace Config {

/// Reads the value of one key into the settings. The reader stands on the key's section.
using ReadKey = std::function<void(Toml::TableReader&, const std::string&, Settings&)>;

struct Key
{
  /// Empty for keys of the file itself.
  std::string mSection;
  std::string mName;
  std::string mUnit;
  std::string mDefault;
  std::string mRange;
  ReadKey mRead;
};

/// The keys that have one value.
const std::vector<Key>&
ScalarKeys();

/// The keys of the items of [[peer]] and [[data_centre]], for the page only.
const std::vector<SettingKey>&
ListKeys();

/// Places of the keys that some layer has set, by full name.
using Origins = std::map<std::string, Common::Place>;

/// Relations between keys, and required keys.
void
CheckSettings(const Settings& aSettings,
              const Origins& aOrigins,
              const std::string& aFile,
              Common::Findings& aFindings);

/// A numeric IPv4 or IPv6 address.
bool
IsIpAddress(const std::string& aText);

/// A numeric address with a port, "10.0.0.1:80" or "[::1]:80".
bool
IsSocketAddress(const std::string& aText);

} // namespace Config
