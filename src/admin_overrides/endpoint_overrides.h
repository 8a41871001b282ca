// Which cache nodes are out by hand, laid over discovery's list before anybody else sees it: a node that is out reads as
// one that drains, whatever the list says of it; one that was put back reads as started at that moment, so that what
// was learned before counts no more and the limits on cold nodes hold.
//
// A ban belongs to the name: it stays when the node leaves the list, comes back, or another takes its address. Names that
// were listed once are remembered, the latest `remembered` of those that have gone; names that are out are never
// forgotten.
//
// Units: `now` in Unix milliseconds, as discovery's since_ms. One thread.
#pragma once

#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "fernward/balancer.h"

namespace fernward::admin_overrides {

struct EndpointOverridesOptions {
  std::size_t remembered = 4096; // names that were listed once and are not now
  std::size_t most_out = 1024;   // names that are out at once
};

class EndpointOverrides {
 public:
  explicit EndpointOverrides(const EndpointOverridesOptions& options = {}) : options_(options) {}

  void list(const std::vector<std::string>& names); // the cache nodes that discovery lists now, all of them

  // The same of one cache node, at a cost that does not grow with their number.
  void listed(const std::string& name);
  void unlisted(const std::string& name);

  enum class Said { Yes, NeverListed, TooMany };
  Said take_out(const std::string& name);             // again: yes, and nothing changes
  Said put_back(double now, const std::string& name); // of one that is not out: yes, and nothing changes

  bool out(const std::string& name) const;
  Server over(const std::string& name, Server listed) const; // as the router is to see it

  // What another process of the same router needs to go on with these, and takes in place of its own. A name that is
  // known here only, because it is listed, stays known.
  struct Known {
    std::string name;
    bool out = false;
    double fresh_at = 0;
    bool operator==(const Known&) const = default;
  };
  std::vector<Known> all() const;
  Known of(const std::string& name) const;
  void adopt(const std::vector<Known>& all);
  void adopt(const Known& one);

  std::size_t known() const { return names_.size(); }

 private:
  struct Name {
    bool listed = false, out = false;
    double fresh_at = 0; // when it was put back last
    bool has_gone = false;
    std::list<std::string>::iterator gone; // its place among those, where it has gone
  };
  Name& meet(const std::string& name);
  void leave(const std::string& name, Name& of);
  void stay(Name& of);
  void forget();

  EndpointOverridesOptions options_;
  std::map<std::string, Name> names_;
  std::list<std::string> gone_; // neither listed nor out, the longest gone in front
  std::size_t out_ = 0;
};

} // namespace fernward::admin_overrides
