#include "admin_overrides/endpoint_overrides.h"

#include <algorithm>

namespace fernward::admin_overrides {

EndpointOverrides::Name& EndpointOverrides::meet(const std::string& name) {
  return names_.try_emplace(name).first->second;
}

void EndpointOverrides::leave(const std::string& name, Name& of) {
  if (of.listed || of.out || of.has_gone) return;
  of.gone = gone_.insert(gone_.end(), name);
  of.has_gone = true;
}

void EndpointOverrides::stay(Name& of) {
  if (of.has_gone) gone_.erase(of.gone);
  of.has_gone = false;
}

// On days where names are always new the memory of old ones must not grow.
void EndpointOverrides::forget() {
  while (gone_.size() > options_.remembered) {
    names_.erase(gone_.front());
    gone_.pop_front();
  }
}

void EndpointOverrides::list(const std::vector<std::string>& names) {
  for (auto& [name, of] : names_) of.listed = false;
  for (const std::string& name : names) listed(name);
  for (auto& [name, of] : names_) leave(name, of);
  forget();
}

void EndpointOverrides::listed(const std::string& name) {
  Name& of = meet(name);
  of.listed = true;
  stay(of);
}

void EndpointOverrides::unlisted(const std::string& name) {
  const auto found = names_.find(name);
  if (found == names_.end()) return;
  found->second.listed = false;
  leave(name, found->second);
  forget();
}

EndpointOverrides::Said EndpointOverrides::take_out(const std::string& name) {
  const auto found = names_.find(name);
  if (found == names_.end()) return Said::NeverListed;
  if (found->second.out) return Said::Yes;
  if (out_ >= options_.most_out) return Said::TooMany;
  found->second.out = true;
  ++out_;
  stay(found->second);
  return Said::Yes;
}

EndpointOverrides::Said EndpointOverrides::put_back(double now, const std::string& name) {
  const auto found = names_.find(name);
  if (found == names_.end()) return Said::NeverListed;
  Name& of = found->second;
  if (!of.out) return Said::Yes; // a second call must not make it cold again
  of.out = false;
  --out_;
  of.fresh_at = now;
  leave(name, of);
  forget();
  return Said::Yes;
}

bool EndpointOverrides::out(const std::string& name) const {
  const auto found = names_.find(name);
  return found != names_.end() && found->second.out;
}

Server EndpointOverrides::over(const std::string& name, Server listed) const {
  const auto found = names_.find(name);
  if (found == names_.end()) return listed;
  if (found->second.out && listed.state == ServerState::Ready) listed.state = ServerState::Draining;
  listed.started_at = std::max(listed.started_at, found->second.fresh_at);
  return listed;
}

std::vector<EndpointOverrides::Known> EndpointOverrides::all() const {
  std::vector<Known> all;
  for (const std::string& name : gone_)
    all.push_back({name, false, names_.at(name).fresh_at}); // in their order
  for (const auto& [name, of] : names_) {
    if (!of.has_gone) all.push_back({name, of.out, of.fresh_at});
  }
  return all;
}

EndpointOverrides::Known EndpointOverrides::of(const std::string& name) const {
  const auto found = names_.find(name);
  return found == names_.end() ? Known{name, false, 0}
                               : Known{name, found->second.out, found->second.fresh_at};
}

void EndpointOverrides::adopt(const Known& one) {
  Name& of = meet(one.name);
  if (one.out && !of.out && out_ >= options_.most_out) return leave(one.name, of);
  out_ += one.out;
  out_ -= of.out;
  of.out = one.out;
  of.fresh_at = std::max(of.fresh_at, one.fresh_at);
  of.out ? stay(of) : leave(one.name, of);
  forget();
}

void EndpointOverrides::adopt(const std::vector<Known>& all) {
  for (const Known& one : all) adopt(one);
}

} // namespace fernward::admin_overrides
