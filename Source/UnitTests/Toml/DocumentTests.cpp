#include <algorithm>

#include <catch2/catch.hpp>

#include "Toml/TableReader.h"

namespace {

std::string
Refusal(const std::string& aText)
{
  const auto document = Toml::ParseDocument(aText, "f");
  if (document) {
    return "";
  }
  Common::Findings findings;
  findings.error(document.error().mPlace, document.error().mMessage);
  return findings.text();
}

std::string
Repeated(const std::string& aPart, std::size_t aCount)
{
  std::string text;
  for (std::size_t i = 0; i < aCount; ++i) {
    text += aPart;
  }
  return text;
}

} // namespace

TEST_CASE("Text that is no table is refused with its place", "[Toml]")
{
  SECTION("broken UTF-8, with the column counted in characters")
  {
    REQUIRE(Refusal("a = 1\nb = \"\xc3\xa9\xff\"") == "f:2:7: the text is not valid UTF-8\n");
    REQUIRE(Refusal("\xc0\x80") == "f:1:1: the text is not valid UTF-8\n");
    REQUIRE(Refusal("\xed\xa0\x80") == "f:1:1: the text is not valid UTF-8\n");
    REQUIRE(Refusal("# \xf4\x90\x80\x80") == "f:1:3: the text is not valid UTF-8\n");
  }
  SECTION("a NUL byte")
  {
    REQUIRE(Refusal(std::string("a = 1\n\0", 7)) == "f:2:1: the text has a NUL byte\n");
  }
  SECTION("a text above the limit")
  {
    REQUIRE(Refusal(std::string((4U << 20U) + 1, '#')) ==
            "f:1:1: the text has 4194305 bytes; the limit is 4194304\n");
    REQUIRE(Refusal(std::string(4U << 20U, '#')).empty());
  }
  SECTION("a syntax error")
  {
    // The parser quotes a line end as it stands, which broke the finding over two lines.
    const std::string broken = Refusal("a = tru\nue\n");
    REQUIRE(std::count(broken.begin(), broken.end(), '\n') == 1);
    REQUIRE(Refusal("a = 1\nb = = 2\n").rfind("f:2:5: ", 0) == 0);
  }
}

TEST_CASE("Deep nesting is refused before the parser builds a tree", "[Toml]")
{
  // toml++ destroys its tree recursively, so a long dotted key overflows the stack.
  REQUIRE(Refusal("a" + Repeated(".a", 1'000'000) + " = 1") ==
          "f:1:32: nested deeper than 16 levels\n");
  REQUIRE(Refusal("[" + Repeated("a.", 1'000'000) + "a]") ==
          "f:1:33: nested deeper than 16 levels\n");
  REQUIRE(Refusal("a = " + Repeated("[", 1'000'000)) == "f:1:21: nested deeper than 16 levels\n");
  REQUIRE(Refusal("a = " + Repeated("{ a = ", 100'000)) ==
          "f:1:101: nested deeper than 16 levels\n");

  SECTION("dots and brackets in strings and comments do not count")
  {
    REQUIRE(Refusal("a = \"" + Repeated("[.", 100) + "\" # " + Repeated("[.", 100)).empty());
    REQUIRE(Refusal("a = '" + Repeated("{.", 100) + "'").empty());
    REQUIRE(Refusal("a = \"\"\"" + Repeated("[.\"\n", 100) + "\"\"\"").empty());
    REQUIRE(Refusal("a = \"\\\"" + Repeated("[", 100) + "\"").empty());
    REQUIRE(Refusal("a = [" + Repeated("0.5, ", 100) + "]").empty());
  }
  SECTION("brackets behind a string that ends in quotes count")
  {
    REQUIRE(Refusal("a = [\"\"\"b\"\"\"\"\", " + Repeated("[", 100)) != "");
    REQUIRE(Refusal("a = ['', " + Repeated("[", 100)) != "");
  }
}

TEST_CASE("A table reader reports every wrong key", "[Toml]")
{
  const auto document = Toml::ParseDocument("count = 7\n"
                                            "flag = \"yes\"\n"
                                            "mode = \"fats\"\n"
                                            "names = [\"a\", 2]\n"
                                            "cuont = 1\n",
                                            "f");
  REQUIRE(document.has_value());
  Common::Findings findings;
  Toml::TableReader reader(*document, "f", "thing", findings);
  REQUIRE_FALSE(reader.integer("count", { 0, 5 }).has_value());
  REQUIRE_FALSE(reader.boolean("flag").has_value());
  REQUIRE_FALSE(reader.choice("mode", { "slow", "fast" }).has_value());
  REQUIRE_FALSE(reader.textList("names").has_value());
  reader.missing("size");
  reader.finish();
  REQUIRE(findings.text() ==
          "f:1:9: thing: key \"count\" is 7; it must be from 0 to 5\n"
          "f:2:8: thing: key \"flag\" must be true or false, not a string\n"
          "f:3:8: thing: key \"mode\" is \"fats\"; it must be one of \"slow\", \"fast\"; did you "
          "mean \"fast\"?\n"
          "f:4:15: thing: key \"names\" must have strings only, not an integer\n"
          "f:1:1: thing: key \"size\" is missing\n"
          "f:5:1: thing: unknown key \"cuont\"; did you mean \"count\"?\n");
}
