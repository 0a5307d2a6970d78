#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include "Ibisctl/Command.h"
#include "Ibisctl/Output.h"

namespace Ibisctl {

using nlohmann::json;

int
UsageError(Session& aSession, const std::string& aMessage)
{
  aSession.mError << "ibisctl: " << aMessage << "; see ibisctl --help\n";
  return kUsage;
}

json
ParseJson(const std::string& aText)
{
  return json::parse(aText, nullptr, false);
}

std::string
TextOf(const json& aObject, const std::string& aKey)
{
  if (!aObject.is_object()) {
    return "";
  }
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_string() ? found->get<std::string>() : "";
}

std::int64_t
NumberOf(const json& aObject, const std::string& aKey)
{
  if (!aObject.is_object()) {
    return 0;
  }
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

int
ReportNoAnswer(Session& aSession, const NoAnswer& aNoAnswer)
{
  aSession.mError << "ibisctl: no server answered: " << aNoAnswer.mMessage << '\n';
  if (aNoAnswer.mMaybeDelivered) {
    aSession.mError << "ibisctl: the request may have taken effect\n";
  }
  return kUnreachable;
}

int
ReportRefusal(Session& aSession, const Answer& aAnswer)
{
  const json body = ParseJson(aAnswer.mBody);
  if (aSession.mJson && !body.is_discarded()) {
    aSession.mOut << body.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
  }
  std::string text = RenderCell("", TextOf(body, "error"));
  if (text == "-") {
    text = "the server refused the request";
  }
  aSession.mError << "ibisctl: " << text << " (HTTP " << aAnswer.mStatus << ")\n";
  if (!aAnswer.mRetryAfter.empty()) {
    aSession.mError << "ibisctl: try again after " << RenderCell("", aAnswer.mRetryAfter) << " s\n";
  }
  const auto findings = body.is_object() ? body.find("findings") : body.end();
  if (findings == body.end() || !findings->is_array()) {
    return kNegative;
  }
  for (const json& finding : *findings) {
    aSession.mError << RenderCell("", TextOf(finding, "file")) << ':' << NumberOf(finding, "line")
                    << ':' << NumberOf(finding, "column") << ": "
                    << (TextOf(finding, "severity") == "warning" ? "warning: " : "")
                    << RenderCell("", TextOf(finding, "message")) << '\n';
  }
  return kNegative;
}

tl::expected<json, int>
ReadAnswer(Session& aSession,
           const tl::expected<Answer, NoAnswer>& aAnswer,
           const std::string& aPath)
{
  if (!aAnswer) {
    return tl::unexpected(ReportNoAnswer(aSession, aAnswer.error()));
  }
  if (!aAnswer->succeeded()) {
    return tl::unexpected(ReportRefusal(aSession, *aAnswer));
  }
  json body = ParseJson(aAnswer->mBody.empty() ? "{}" : aAnswer->mBody);
  if (body.is_discarded()) {
    aSession.mError << "ibisctl: the answer to " << aPath << " is not JSON\n";
    return tl::unexpected(kUnreachable);
  }
  return body;
}

tl::expected<json, int>
Ask(Session& aSession,
    const std::string& aMethod,
    const std::string& aPath,
    const std::string& aBody,
    const std::map<std::string, std::string>& aHeaders)
{
  return ReadAnswer(aSession, aSession.mApi.call(aMethod, aPath, aBody, true, aHeaders), aPath);
}

void
PrintList(Session& aSession,
          const json& aAnswer,
          const std::string& aKey,
          const std::vector<std::string>& aColumns)
{
  if (aSession.mJson) {
    aSession.mOut << aAnswer.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
    return;
  }
  const auto missing = aAnswer.is_object() ? aAnswer.find("cells_not_heard") : aAnswer.end();
  if (missing != aAnswer.end() && missing->is_array() && !missing->empty()) {
    aSession.mError << "ibisctl: the list is not complete; cells not heard: "
                    << RenderCell("", *missing) << '\n';
  }
  const bool nested = aAnswer.is_object() && aAnswer.contains(aKey);
  const json& items = nested ? aAnswer.at(aKey) : aAnswer;
  aSession.mOut << RenderTable(items.is_array() ? items : json::array({ items }), aColumns);
}

void
PrintObject(Session& aSession, const json& aObject, const std::vector<std::string>& aFirst)
{
  if (aSession.mJson) {
    aSession.mOut << aObject.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
    return;
  }
  aSession.mOut << RenderObject(aObject, aFirst);
}

tl::expected<std::string, std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::stringstream text;
  if (!file || !(text << file.rdbuf() || file.peek() == std::ifstream::traits_type::eof())) {
    return tl::unexpected("cannot read \"" + aPath + "\": " + std::strerror(errno));
  }
  return text.str();
}

} // namespace Ibisctl
