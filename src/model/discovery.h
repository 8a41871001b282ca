// Discovery's endpoint list, and the version of it that each router's agent has received.
//
// The caller reports the actual state of the machines. The list shows it after a delay, and each agent
// receives the new version of the list after a further delay, or after the outage if there is one. An agent
// answers its router immediately from the version that it has, with the complete list or with the changes
// since a version. A version is identified by its index.
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
    std::uint64_t index = 0; // of the first list that contained this state
  };
  struct List {
    std::uint64_t index = 0;
    bool complete = true; // true: machines that are not in the list are gone; false: it contains only changes
    std::vector<Entry> entries;
  };
  enum class Cause { Added, Leaving, Silent }; // determines the delay until the list shows the change

  // The initial list contains the machines that are in service at the start, and the origin.
  Discovery(const Spec& spec, const Plan& plan);

  // Reports the actual state of a machine. It replaces an earlier change that the list does not show yet.
  void change(double now, MachineId machine, ServerState state, double started_at, Cause cause);
  void set_outage(double now, bool on); // agents receive nothing during an outage and all updates after it

  void advance(double now);
  double next_due_ms() const; // when advance() must be called; infinity: never

  // The index that the router's agent has, as of the last advance().
  std::uint64_t index(RouterId router) const { return agent_index_[router]; }
  // The agent's entries that are newer than `since`; all of them if `since` is empty.
  List list(RouterId router, std::optional<std::uint64_t> since) const;
  // The complete list at `index`, an index that an agent has had.
  List list_at(std::uint64_t index) const { return list_between(index, std::nullopt); }

 private:
  struct PendingChange {
    double at = 0;
    Entry entry;
  };
  struct Delivery { // a list in transit to an agent
    double at = 0;
    std::uint64_t index = 0;
  };

  List list_between(std::uint64_t index, std::optional<std::uint64_t> since) const;
  void publish(double now);
  void fold_old_changes();

  DiscoverySpec spec_;
  Engine delay_engine_, delivery_engine_;
  std::map<MachineId, PendingChange> pending_; // changes that the list does not contain yet
  std::uint64_t index_ = 1;
  std::map<MachineId, Entry> base_; // the list at base_index_; changes_ holds what is newer
  std::uint64_t base_index_ = 1;
  std::deque<Entry> changes_;
  std::vector<std::uint64_t> agent_index_;
  std::vector<std::deque<Delivery>> deliveries_; // by agent
  bool outage_ = false;
};

} // namespace fernward::model
