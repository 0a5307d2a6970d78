#pragma once

#include <functional>
#include <string>
#include <vector>

/// Measures that compare a figure with a baseline of the same run.
namespace Bench {

enum class Bound
{
  /// Shown only.
  Info,
  AtLeast,
  AtMost,
};

struct Measure
{
  std::string mName;
  std::string mUnit;
  double mFigure = 0;
  double mBaseline = 0;
  Bound mKind = Bound::Info;
  double mBound = 0;
};

double
RatioOf(const Measure& aMeasure);

bool
Passes(const Measure& aMeasure);

using Measures = std::vector<Measure>;
using MeasureFunction = std::function<Measures()>;

struct Area
{
  std::string mName;
  MeasureFunction mRun;
};

std::vector<Area>&
Areas();

/// True if the run should skip its longest parts.
bool
Quick();

void
SetQuick(bool aQuick);

/// Registers an area from a static object of its .cpp file.
struct Registration
{
  Registration(std::string aName, MeasureFunction aRun);
};

void
PrintTable(const Measures& aMeasures);

std::string
JsonText(const Measures& aMeasures);

} // namespace Bench
