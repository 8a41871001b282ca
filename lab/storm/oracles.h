// The oracles: each judges one thing by the records of a run, says how far from its bound the run was, and how sure it is
// that a run beyond the bound is the routers' fault. Pure: evidence in, verdicts out.
//
// A distance of 1 and more is beyond the bound; 0 is as well as can be. What an oracle can't judge in a storm it says so
// of, and is counted apart: it is neither kept nor broken.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "lab/check/checker.h"
#include "lab/storm/watch.h"

namespace fernward::lab::storm {

enum class Sure {
  Always, // a run beyond the bound is a defect of the program or of the oracle
  Mostly // chance and what the model leaves out may do it: told with its distance, never a verdict of CI by itself
};

struct Evidence {
  const model::Spec& spec;
  const model::Plan& plan;
  Findings findings;
  Seen seen;
  std::optional<Seen> calm; // the same fleet, seed and load without faults
  std::optional<Seen> four; // the same storm before four routers
};

struct Verdict {
  bool judged = true;
  double distance = 0;
  std::string what; // of what was seen, in a line; why not where it was not judged
  bool broken() const { return judged && distance >= 1; }
};

struct Oracle {
  const char* name;
  const char* says; // what must hold
  Sure sure;
  const char* because; // of how sure it is
  Verdict (*judge)(const Evidence& e);
};
const std::vector<Oracle>& oracles();
const Oracle* find_oracle(const std::string& name); // nullptr: there is none of that name

std::vector<Verdict> judge(const Evidence& e); // of each oracle, in order

// ---- bounds that are worked out from the model ----

// How long after the last fault the origin has to fetch again what was lost with caches, as fast as it can beside its
// steady work; infinite where it never can. `steady_per_s`: fetches and writes that reach it on a calm day, in fetches.
double refill_ms(const model::Spec& spec, double lost_share, double steady_per_s);
// Share of the caches' contents that faults threw away, each node's counted once.
double lost_contents(const model::Plan& plan);
// Work that is asked beside what all nodes can do when the last fault has ended; above 1 everybody must lose.
double used_after(const model::Spec& spec, const model::Plan& plan);

} // namespace fernward::lab::storm
