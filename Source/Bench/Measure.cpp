#include "Bench/Measure.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace Bench {

namespace {

const char*
VerdictOf(const Measure& aMeasure)
{
  if (aMeasure.mKind == Bound::Info) {
    return "info";
  }
  return Passes(aMeasure) ? "pass" : "RED";
}

std::string
BoundText(const Measure& aMeasure)
{
  if (aMeasure.mKind == Bound::Info) {
    return "";
  }
  char text[32];
  std::snprintf(
    text, sizeof(text), "%s %.3g", aMeasure.mKind == Bound::AtLeast ? ">=" : "<=", aMeasure.mBound);
  return text;
}

} // namespace

double
RatioOf(const Measure& aMeasure)
{
  return aMeasure.mBaseline == 0 ? 0 : aMeasure.mFigure / aMeasure.mBaseline;
}

bool
Passes(const Measure& aMeasure)
{
  switch (aMeasure.mKind) {
    case Bound::AtLeast:
      return RatioOf(aMeasure) >= aMeasure.mBound;
    case Bound::AtMost:
      return aMeasure.mBaseline != 0 && RatioOf(aMeasure) <= aMeasure.mBound;
    case Bound::Info:
      break;
  }
  return true;
}

std::vector<Area>&
Areas()
{
  static std::vector<Area> sAreas;
  return sAreas;
}

namespace {

bool sQuick = false;

} // namespace

bool
Quick()
{
  return sQuick;
}

void
SetQuick(bool aQuick)
{
  sQuick = aQuick;
}

Registration::Registration(std::string aName, MeasureFunction aRun)
{
  Areas().push_back({ std::move(aName), std::move(aRun) });
}

void
PrintTable(const Measures& aMeasures)
{
  std::printf(
    "%-68s %12s %12s %8s %9s %s\n", "measure", "figure", "baseline", "ratio", "bound", "");
  for (const Measure& measure : aMeasures) {
    const std::string name = measure.mName + " [" + measure.mUnit + "]";
    std::printf("%-68s %12.4g %12.4g %8.3f %9s %s\n",
                name.c_str(),
                measure.mFigure,
                measure.mBaseline,
                RatioOf(measure),
                BoundText(measure).c_str(),
                VerdictOf(measure));
  }
}

std::string
JsonText(const Measures& aMeasures)
{
  nlohmann::json lines = nlohmann::json::array();
  for (const Measure& measure : aMeasures) {
    lines.push_back({ { "name", measure.mName },
                      { "unit", measure.mUnit },
                      { "figure", measure.mFigure },
                      { "baseline", measure.mBaseline },
                      { "ratio", RatioOf(measure) },
                      { "bound", BoundText(measure) },
                      { "verdict", VerdictOf(measure) } });
  }
  return lines.dump(2) + '\n';
}

} // namespace Bench
