// Caches that an operator has disabled, applied to discovery's list before anybody else sees it. A disabled
// cache reads as draining, whatever the list says; one that was enabled again reads as started at that
// moment, so that what was learned of it before counts no more and slow start holds.
//
// An override belongs to the name: it stays when the cache leaves the list, comes back or changes its
// address. A name that was listed once is remembered among the latest `max_unlisted`; a disabled one is never
// forgotten.
//
// Times in Unix milliseconds, as discovery's since_ms. One thread.
#pragma once

#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "fernward/balancer.h"

namespace fernward::admin_overrides {

struct EndpointOverridesOptions {
  std::size_t max_unlisted = 4096; // names that were listed once and are not now
  std::size_t max_disabled = 1024; // names at once
};

class EndpointOverrides {
 public:
  enum class Result { Done, UnknownEndpoint, TooManyDisabled };

  // Of one name, as another process of the same router needs it.
  struct Override {
    std::string name;
    bool disabled = false;
    double enabled_at_ms = 0; // 0: it never was enabled again
    bool operator==(const Override&) const = default;
  };

  explicit EndpointOverrides(const EndpointOverridesOptions& options = {}) : options_(options) {}

  void set_endpoints(const std::vector<std::string>& names); // all caches that discovery lists now
  // The same for one cache, at a cost that does not grow with their number.
  void endpoint_added(const std::string& name);
  void endpoint_removed(const std::string& name);

  // A second call for the same name is Done and changes nothing.
  Result disable(const std::string& name);
  Result enable(double now_ms, const std::string& name);

  bool is_disabled(const std::string& name) const;
  Server apply(const std::string& name, Server listed) const; // `listed` as the router is to see it

  std::vector<Override> snapshot() const; // of every name, the longest unlisted first
  Override find(const std::string& name) const;
  // Takes what another process tells in place of this one's own. A name that is known here alone stays known.
  void adopt(const std::vector<Override>& overrides);
  void adopt(const Override& other);

  std::size_t size() const { return entries_.size(); } // names that are known

 private:
  struct Entry {
    bool listed = false;
    bool disabled = false;
    double enabled_at_ms = 0;
    bool in_unlisted = false;
    std::list<std::string>::iterator unlisted; // valid if `in_unlisted`
  };
  Entry& find_or_add(const std::string& name);
  void release(const std::string& name, Entry& entry);
  void retain(Entry& entry);
  void forget_oldest();

  EndpointOverridesOptions options_;
  std::map<std::string, Entry> entries_;
  std::list<std::string> unlisted_; // neither listed nor disabled, the longest so in front
  std::size_t disabled_ = 0;
};

} // namespace fernward::admin_overrides
