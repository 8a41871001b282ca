// Stores which caches an operator has disabled, and applies this to discovery's list before any other
// component uses it. A disabled cache that the list has in service is presented as draining. A cache that has
// been enabled again is presented as started at that moment: this discards earlier measurements of it and
// applies slow start.
//
// An override is bound to the cache's name: it persists when the cache leaves the list, returns or changes
// its address. Of the names that are neither listed nor disabled the latest `max_unlisted` are kept; a
// disabled name is never evicted.
//
// Times are Unix milliseconds, like since_ms in discovery's list. Not thread-safe.
#pragma once

#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "fernward/balancer.h"

namespace fernward::admin_overrides {

struct EndpointOverridesOptions {
  std::size_t max_unlisted = 4096; // names kept that are no longer listed
  std::size_t max_disabled = 1024; // names disabled at the same time
};

class EndpointOverrides {
 public:
  enum class Result { Done, UnknownEndpoint, TooManyDisabled };

  // The override of one name, as passed to another process of the same router during a hot restart.
  struct Override {
    std::string name;
    bool disabled = false;
    double enabled_at_ms = 0; // 0: never enabled after being disabled
    bool operator==(const Override&) const = default;
  };

  explicit EndpointOverrides(const EndpointOverridesOptions& options = {}) : options_(options) {}

  void set_endpoints(const std::vector<std::string>& names); // all caches listed by discovery
  // Updates one cache. The cost does not depend on the number of listed caches.
  void endpoint_added(const std::string& name);
  void endpoint_removed(const std::string& name);

  // Repeating a call for the same name returns Done and changes nothing.
  Result disable(const std::string& name);
  Result enable(double now_ms, const std::string& name);

  bool is_disabled(const std::string& name) const;
  Server apply(const std::string& name, Server listed_server) const; // the listed state with its override

  std::vector<Override> snapshot() const; // all names; unlisted ones first, oldest first
  Override find(const std::string& name) const;
  // Applies the overrides of another process to the given names; the later time of enabling is kept. Other
  // names are unchanged. A name that would exceed `max_disabled` is not disabled.
  void merge(const std::vector<Override>& overrides);
  void merge(const Override& remote);

  std::size_t size() const { return entries_.size(); } // names stored

 private:
  struct Entry {
    bool listed = false;
    bool disabled = false;
    double enabled_at_ms = 0;
    bool in_unlisted = false;
    std::list<std::string>::iterator unlisted_position; // valid if `in_unlisted`
  };
  Entry& find_or_add(const std::string& name);
  void track_if_unlisted(const std::string& name, Entry& entry);
  void untrack_unlisted(Entry& entry);
  void evict_oldest_unlisted();

  EndpointOverridesOptions options_;
  std::map<std::string, Entry> entries_;
  std::list<std::string> unlisted_names_; // neither listed nor disabled, oldest first
  std::size_t disabled_count_ = 0;
};

} // namespace fernward::admin_overrides
