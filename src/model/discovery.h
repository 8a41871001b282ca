// Discovery's list and what has come of it to each router's agent: late, as lists or changes, or not at all.
//
// The caller tells what is true of the machines; the list has it after a while, and each agent later still.
// An agent answers for its router at once with what it has.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <vector>

#include "model/plan.h"
#include "model/rng.h"

namespace fernward::model {

class Discovery {
 public:
  struct Entry {
    MachineId machine = 0;
    ServerState state = ServerState::Ready;
    double started_at = -1;  // below 0: before the run
    std::uint64_t index = 0; // of the list that had it first
  };
  struct List {
    std::uint64_t index = 0;
    bool whole = true; // machines that are not in it are gone; else: changes alone
    std::vector<Entry> entries;
  };
  enum class Why { Added, Left, Silent }; // how soon it is noticed

  // The list begins with the machines that are in service at the start, and the origin.
  Discovery(const Spec& spec, const Plan& plan);

  // The truth about a machine. A later word about it goes before one that the list has not had yet.
  void change(double now, MachineId machine, ServerState state, double started_at, Why why);
  void outage(double now, bool on); // nothing comes to the agents meanwhile, then all of it

  void advance(double now);
  double next() const; // infinity: never

  std::uint64_t index(RouterId router) const {
    return agents_[router];
  } // what its agent has, after advance()
  // What the agent has that is newer than `since` (none: everything).
  List list(RouterId router, std::optional<std::uint64_t> since) const;
  // The whole list as it was at `index`, which an agent has had.
  List list_at(std::uint64_t index) const { return list_between(index, std::nullopt); }

 private:
  struct Coming {
    double at = 0;
    Entry entry;
  };
  struct Passing { // a list on its way to an agent
    double at = 0;
    std::uint64_t index = 0;
  };

  List list_between(std::uint64_t index, std::optional<std::uint64_t> since) const;
  void publish(double now);
  void trim();

  DiscoverySpec spec_;
  Engine notice_, spread_;
  std::map<MachineId, Coming> coming_; // by machine
  std::uint64_t index_ = 1;
  std::map<MachineId, Entry> base_; // as of base_index_; `changes_` are newer
  std::uint64_t base_index_ = 1;
  std::deque<Entry> changes_;
  std::vector<std::uint64_t> agents_;
  std::vector<std::deque<Passing>> passing_; // to each agent
  bool out_ = false;
};

} // namespace fernward::model
