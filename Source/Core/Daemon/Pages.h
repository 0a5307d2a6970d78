#pragma once

#include <string>

#include "Common/Findings.h"
#include "Common/Outcome.h"
#include "Daemon/Runtime.h"
#include "Http/Message.h"

/// Parts that the HTTP interfaces of both roles share.
namespace Daemon {

Http::Response
ErrorPage(int aStatus, const std::string& aText, const Common::Findings& aFindings = {});

/// An error with `Retry-After`, rounded up to seconds.
Http::Response
RetryPage(int aStatus, const std::string& aText, Common::Duration aRetryAfter);

/// Health, readiness, counters and spans, which both roles serve; nothing for other paths.
std::optional<Http::Response>
CommonPage(Runtime& aRuntime, const Http::Request& aRequest);

/// The spans of one trace that this process keeps, as JSON objects.
std::vector<std::string>
SpansOf(Runtime& aRuntime, const std::string& aTrace);

Http::Response
SpansPage(const std::vector<std::string>& aSpans);

void
SetOutcome(Http::Response& aResponse, Common::Outcome aOutcome);

/// Sets `Retry-After` in whole seconds.
void
SetRetryAfter(Http::Response& aResponse, Common::Duration aRetryAfter);

/// aText as a JSON string, with quotes; invalid UTF-8 is replaced.
std::string
Quoted(const std::string& aText);

inline constexpr const char* kApiPrefix = "/ibisshed/v1/";

} // namespace Daemon
