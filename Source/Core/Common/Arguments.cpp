#include "Common/Arguments.h"

#include <algorithm>
#include <charconv>

#include <getopt.h>

namespace Common {

namespace {

/// Codes of long options start above those of characters, which getopt returns for errors.
constexpr int kFirstCode = 256;

/// The word that getopt refused. For a short option getopt names the letter, for a long one it has
/// moved behind the word but not yet permuted it.
std::string
RefusedWord(const std::vector<char*>& aWords)
{
  if (optopt > 0 && optopt < kFirstCode) {
    return { '-', static_cast<char>(optopt) };
  }
  return aWords[static_cast<std::size_t>(optind - 1)];
}

std::string
Complaint(int aCode, const std::string& aWord)
{
  return aCode == ':' ? "option \"" + aWord + "\" needs a value"
                      : "unknown, ambiguous or misused option \"" + aWord + '"';
}

} // namespace

bool
Arguments::has(const std::string& aName) const
{
  return mOptions.count(aName) > 0;
}

std::string
Arguments::value(const std::string& aName, const std::string& aDefault) const
{
  const auto found = mOptions.find(aName);
  return found == mOptions.end() ? aDefault : found->second.back();
}

tl::expected<Arguments, std::string>
ParseArguments(const std::vector<std::string>& aWords,
               const std::vector<OptionSpec>& aSpecs,
               bool aStopAtWord)
{
  std::vector<option> options;
  options.reserve(aSpecs.size() + 1);
  for (const OptionSpec& spec : aSpecs) {
    options.push_back({ spec.mName.c_str(),
                        spec.mValue.empty() ? no_argument : required_argument,
                        nullptr,
                        kFirstCode + static_cast<int>(options.size()) });
  }
  options.push_back({ nullptr, 0, nullptr, 0 });

  std::vector<std::string> words = { "" }; // the place of the program's name
  words.insert(words.end(), aWords.begin(), aWords.end());
  std::vector<char*> pointers;
  pointers.reserve(words.size() + 1);
  for (std::string& word : words) {
    pointers.push_back(word.data());
  }
  pointers.push_back(nullptr);

  Arguments parsed;
  const int count = static_cast<int>(words.size());
  optind = 0; // makes getopt forget an earlier parse
  for (;;) {
    const int code =
      getopt_long(count, pointers.data(), aStopAtWord ? "+:" : ":", options.data(), nullptr);
    if (code == -1) {
      break;
    }
    if (code < kFirstCode) {
      return tl::unexpected(Complaint(code, RefusedWord(pointers)));
    }
    const std::string& name = aSpecs[static_cast<std::size_t>(code - kFirstCode)].mName;
    parsed.mOptions[name].emplace_back(optarg == nullptr ? "" : optarg);
  }
  for (int i = optind; i < count; ++i) {
    parsed.mPositional.emplace_back(pointers[static_cast<std::size_t>(i)]);
  }
  return parsed;
}

std::string
OptionsText(const std::vector<OptionSpec>& aSpecs)
{
  constexpr std::size_t kWidth = 28;
  std::string text;
  for (const OptionSpec& spec : aSpecs) {
    std::string left = "  --" + spec.mName;
    if (!spec.mValue.empty()) {
      left.append(" ").append(spec.mValue);
    }
    left.append(std::max(left.size() + 1, kWidth) - left.size(), ' ');
    text.append(left).append(spec.mHelp).append("\n");
  }
  return text;
}

std::optional<std::int64_t>
ParseCount(const std::string& aText)
{
  std::int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || stop != end || number < 0) {
    return std::nullopt;
  }
  return number;
}

} // namespace Common
