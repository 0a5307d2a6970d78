#include "Toml/Document.h"

#include <algorithm>
#include <exception>

#include <toml++/toml.h>

namespace Toml {

namespace {

Position
PositionOf(const toml::source_region& aSource)
{
  return { static_cast<std::uint32_t>(aSource.begin.line),
           static_cast<std::uint32_t>(aSource.begin.column) };
}

Value
Convert(const toml::node& aNode)
{
  Value value;
  value.mPosition = PositionOf(aNode.source());
  if (const toml::table* table = aNode.as_table()) {
    Table members;
    members.reserve(table->size());
    for (const auto& [key, node] : *table) {
      members.push_back({ std::string(key.str()), PositionOf(key.source()), Convert(node) });
    }
    value.mData = std::move(members);
  } else if (const toml::array* array = aNode.as_array()) {
    Array items;
    items.reserve(array->size());
    for (const toml::node& node : *array) {
      items.push_back(Convert(node));
    }
    value.mData = std::move(items);
  } else if (const auto* text = aNode.as_string()) {
    value.mData = text->get();
  } else if (const auto* integer = aNode.as_integer()) {
    value.mData = integer->get();
  } else if (const auto* number = aNode.as_floating_point()) {
    value.mData = number->get();
  } else if (const auto* boolean = aNode.as_boolean()) {
    value.mData = boolean->get();
  } else {
    value.mData = DateTime{};
  }
  return value;
}

/// The parser quotes the text as it stands; a line end in it would break the finding over two
/// lines.
Common::Finding
SyntaxFinding(const std::string& aFile, Position aPosition, std::string aMessage)
{
  std::replace_if(
    aMessage.begin(),
    aMessage.end(),
    [](char aCharacter) {
      const auto code = static_cast<unsigned char>(aCharacter);
      return code < 0x20 || code == 0x7f;
    },
    ' ');
  return { Common::Severity::Error,
           { aFile, aPosition.mLine, aPosition.mColumn },
           std::move(aMessage) };
}

} // namespace

tl::expected<Value, Common::Finding>
ParseDocument(std::string_view aText, const std::string& aFile, const Limits& aLimits)
{
  Common::Finding problem = CheckText(aText, aFile, aLimits);
  if (!problem.mMessage.empty()) {
    return tl::unexpected(std::move(problem));
  }
  try {
    const toml::table root = toml::parse(aText, aFile);
    Value value = Convert(root);
    if (value.mPosition.mLine == 0) {
      value.mPosition = { 1, 1 };
    }
    return value;
  } catch (const toml::parse_error& error) {
    Position position = PositionOf(error.source());
    if (position.mLine == 0) {
      position = { 1, 1 };
    }
    return tl::unexpected(SyntaxFinding(aFile, position, std::string(error.description())));
  } catch (const std::exception& error) {
    return tl::unexpected(SyntaxFinding(aFile, { 1, 1 }, error.what()));
  }
}

std::string
Quote(std::string_view aText)
{
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string quoted = "\"";
  for (const char character : aText) {
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      quoted += '\\';
      quoted += character;
    } else if (code < 0x20 || code == 0x7f) {
      quoted += "\\u00";
      quoted += kDigits[code >> 4U];
      quoted += kDigits[code & 0xfU];
    } else {
      quoted += character;
    }
  }
  return quoted + '"';
}

} // namespace Toml
