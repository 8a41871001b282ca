// A storm on sockets beside the same storm in virtual time: what differs, and how much of that chance does.
//
// Chance is measured, not guessed: virtual time plays the same machines, requests and faults several times, and draws
// anew what sockets would not repeat either. A figure of sockets agrees within four deviations of those plays and what is
// granted to the model beside them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <stop_token>
#include <string>
#include <vector>

#include "lab/storm/storm.h"

namespace fernward::lab::storm {

// ---- arithmetic ----

struct Chance { // of a figure, over plays that differ by chance alone
  double mean = 0, deviation = 0, least = 0, most = 0;
  std::size_t plays = 0;
};
Chance chance_of(const std::vector<double>& values);
// How far `seen` is from the plays; 1 is the bound. One more play lies as far from their mean as the mean itself may be off.
double bound(const Chance& chance, double granted); // how far off agrees
double distance(const Chance& chance, double seen, double granted);

// ---- one play's figures ----

struct Figure {
  std::string name;
  double value = 0;
  double granted = 0; // to the model, beside chance
};

// Hits and fetches, which oracles do not need.
class Reads : public model::Sink {
 public:
  using model::Sink::on;
  void on(const model::AttemptEnded& e) override;
  std::uint64_t hits = 0, misses = 0, fetched = 0;
};

// The same figures in the same order for each play of a spec: service, of the whole and of each class; hits of reads that
// a cache took; reads that the ledger's origin answered, and attempts at caches, for each request.
std::vector<Figure> figures_of(const model::Spec& spec, const Outcome& out, const Reads& reads);

// ---- pairs ----

struct Compared {
  Figure sockets;
  Chance chance; // of virtual time
  double distance = 0;
};

struct Pair {
  std::uint64_t seed = 0;
  model::Spec spec;
  std::vector<Verdict> in_virtual, on_sockets; // by oracle
  std::vector<Compared> figures;
  double furthest = 0;             // of the figures
  std::size_t chance_broke = 0;    // plays in virtual time that broke a sure oracle
  std::vector<std::string> voided; // why, of each play on sockets that says nothing
  bool judged = false;             // one play on sockets says something
  double late_p99_ms = 0;

  bool agrees() const { return judged && furthest < 1; }
  bool breaks(Sure sure) const; // an oracle of that kind, on either side
};

struct Besides { // who plays, and how often
  MakeDriver sockets;
  std::function<std::unique_ptr<Driver>(std::uint64_t chance)> in_virtual; // 0: as the seed has it
  std::uint32_t plays = 16;                                                // further ones in virtual time
  std::uint32_t tries = 3;                                                 // on sockets, while they are void
  std::string records = {}; // a folder for records of the first play in virtual time and of sockets
};
Pair play_beside(const Besides& besides, const model::Spec& spec, std::stop_token stop = {});

// ---- what is told ----

std::string pair_text(const Pair& pair);
struct Agreement {
  std::uint32_t judged = 0, agree = 0, voided = 0, broke = 0; // broke: a sure oracle, on either side
  double mean = 0, worst = 0;                                 // of the furthest figures
  std::uint32_t wide = 0;                   // storms that chance alone moves by more than 5 points
  double mean_points = 0, worst_points = 0; // of the whole's service, 0.01 each
  bool well() const { return judged > 0 && agree == judged && voided == 0 && broke == 0; }
};
Agreement agreement_of(const std::vector<Pair>& pairs);
std::string agreement_text(const Agreement& a);

} // namespace fernward::lab::storm
