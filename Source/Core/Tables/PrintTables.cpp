#include "Tables/PrintTables.h"

#include "Tables/Fields.h"

namespace Tables {

namespace {

template<typename Item>
void
PrintItems(const std::string& aKind, const std::vector<Item>& aItems, std::string& aText)
{
  for (const Item& item : aItems) {
    aText += (aText.empty() ? "[[" : "\n[[") + aKind + "]]\n";
    std::string section;
    // Keys of the item itself must stand before its first sub-table.
    for (const Field& field : FieldsOf(item)) {
      if (field.mSection != section) {
        section = field.mSection;
        aText.append("[").append(aKind).append(".").append(section).append("]\n");
      }
      aText += field.mKey + " = " + field.mValue + '\n';
    }
  }
}

} // namespace

std::string
PrintRoutes(const TableSet& aTables)
{
  std::string text;
  PrintItems("route", aTables.mRoutes, text);
  return text;
}

std::string
PrintPools(const TableSet& aTables)
{
  std::string text;
  PrintItems("pool", aTables.mPools, text);
  PrintItems("team", aTables.mTeams, text);
  PrintItems("client", aTables.mClients, text);
  return text;
}

} // namespace Tables
