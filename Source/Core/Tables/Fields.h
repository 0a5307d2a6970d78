#pragma once

#include <string>
#include <vector>

#include "Tables/Tables.h"

namespace Tables {

/// One key of an item as it stands in a table.
struct Field
{
  /// Sub-table of the item, for example "match"; empty for keys of the item itself.
  std::string mSection;
  std::string mKey;
  /// The value in TOML.
  std::string mValue;
};

/// The keys of an item with their values, defaults included, in the order in which they are
/// printed. The name stands first.
std::vector<Field>
FieldsOf(const Route& aRoute);
std::vector<Field>
FieldsOf(const Pool& aPool);
std::vector<Field>
FieldsOf(const Team& aTeam);
std::vector<Field>
FieldsOf(const Client& aClient);

} // namespace Tables
