#include "lab/relay/relay.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unordered_set>

#include "config/address.h"
#include "loop/net.h"
#include "loop/timer_queue.h"

namespace fernward::rig {
namespace {

constexpr int kBacklog = 512;
constexpr std::size_t kMaxBufferedBytes =
    256 * 1024; // limit of the bytes buffered for a side that reads slowly

sockaddr_in parse_relay_address(const std::string& text) {
  sockaddr_in address{};
  if (!config::parse_address(text, address))
    throw std::runtime_error("relay: \"" + text + "\" is not an address of the form 127.0.0.1:8080");
  return address;
}

class Relay {
 public:
  Relay(event_base* base, const std::string& listen, const std::vector<std::string>& targets) : base_(base) {
    for (const auto& target : targets) targets_.push_back(parse_relay_address(target));
    if (targets_.empty()) throw std::runtime_error("relay: the list of targets is empty");
    sockaddr_in listen_address = parse_relay_address(listen);
    listener_ = evconnlistener_new_bind(
        base, &Relay::on_accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        kBacklog, reinterpret_cast<sockaddr*>(&listen_address), sizeof listen_address);
    if (listener_ == nullptr) throw std::runtime_error("relay: cannot listen on " + listen);
  }
  ~Relay() {
    evconnlistener_free(listener_);
    for (Pair* pair : pairs_) delete pair;
  }
  Relay(const Relay&) = delete;

 private:
  struct Pair;
  struct PairEnd {
    Pair* pair = nullptr;
    PairEnd* other = nullptr;
    bufferevent* io = nullptr;
  };
  struct Pair {
    PairEnd client, target;
    Relay* relay = nullptr;
    ~Pair() {
      for (const PairEnd* side : {&client, &target}) {
        if (side->io != nullptr) bufferevent_free(side->io);
      }
    }
  };

  static void on_accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    auto* relay = static_cast<Relay*>(self);
    const sockaddr_in& target = relay->targets_[relay->next_++ % relay->targets_.size()];
    auto pair = std::make_unique<Pair>();
    loop::set_nodelay(fd);
    pair->client = {pair.get(), &pair->target,
                    bufferevent_socket_new(relay->base_, fd, BEV_OPT_CLOSE_ON_FREE)};
    pair->target = {pair.get(), &pair->client,
                    bufferevent_socket_new(relay->base_, -1, BEV_OPT_CLOSE_ON_FREE)};
    for (PairEnd* side : {&pair->client, &pair->target}) {
      bufferevent_setcb(side->io, &Relay::on_data, &Relay::on_output_drained, &Relay::on_event, side);
      bufferevent_enable(side->io, EV_READ | EV_WRITE);
    }
    if (bufferevent_socket_connect(pair->target.io, reinterpret_cast<const sockaddr*>(&target),
                                   sizeof target) != 0)
      return;
    loop::set_nodelay(bufferevent_getfd(pair->target.io));
    pair->relay = relay;
    relay->pairs_.insert(pair.release());
  }
  static void close_pair(const PairEnd* side) {
    Pair* pair = side->pair;
    pair->relay->pairs_.erase(pair);
    delete pair;
  }
  static void on_data(bufferevent* from, void* pair_end) {
    auto* side = static_cast<PairEnd*>(pair_end);
    evbuffer* out = bufferevent_get_output(side->other->io);
    evbuffer_add_buffer(out, bufferevent_get_input(from));
    if (evbuffer_get_length(out) > kMaxBufferedBytes) bufferevent_disable(from, EV_READ);
  }
  static void on_output_drained(bufferevent*, void* pair_end) {
    bufferevent* from = static_cast<PairEnd*>(pair_end)->other->io;
    if ((bufferevent_get_enabled(from) & EV_READ) == 0) bufferevent_enable(from, EV_READ);
  }
  // One side has closed: data received from it is still written to the other, then both are closed.
  static void on_event(bufferevent* io, short events, void* pair_end) {
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
    auto* side = static_cast<PairEnd*>(pair_end);
    bufferevent* other = side->other->io;
    evbuffer_add_buffer(bufferevent_get_output(other), bufferevent_get_input(io));
    if (evbuffer_get_length(bufferevent_get_output(other)) == 0) return close_pair(side);
    bufferevent_disable(io, EV_READ | EV_WRITE);
    bufferevent_setcb(other, nullptr, &Relay::on_flushed, &Relay::on_flush_failed, side->other);
  }
  static void on_flushed(bufferevent*, void* pair_end) { close_pair(static_cast<PairEnd*>(pair_end)); }
  static void on_flush_failed(bufferevent*, short, void* pair_end) {
    close_pair(static_cast<PairEnd*>(pair_end));
  }

  event_base* base_;
  evconnlistener* listener_ = nullptr;
  std::vector<sockaddr_in> targets_;
  std::size_t next_ = 0;
  std::unordered_set<Pair*> pairs_;
};

void on_stop_signal(int, short, void* base) { event_base_loopbreak(static_cast<event_base*>(base)); }

} // namespace

int relay(const std::string& listen, const std::vector<std::string>& targets) {
  signal(SIGPIPE, SIG_IGN);
  const std::unique_ptr<event_base, void (*)(event_base*)> base(event_base_new(), &event_base_free);
  if (base == nullptr) return 1;
  try {
    const Relay relay(base.get(), listen, targets);
    const loop::EventPtr term(evsignal_new(base.get(), SIGTERM, &on_stop_signal, base.get()));
    const loop::EventPtr interrupt(evsignal_new(base.get(), SIGINT, &on_stop_signal, base.get()));
    event_add(term.get(), nullptr);
    event_add(interrupt.get(), nullptr);
    event_base_dispatch(base.get());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
  return 0;
}

int relay_as_router() {
  const char* path = std::getenv("NODE_CONFIG");
  std::ifstream file(path == nullptr ? "" : path);
  const auto config = nlohmann::json::parse(file, nullptr, false);
  if (config.is_discarded() || !config.contains("listen") || !config.contains("known")) {
    std::fprintf(stderr, "relay: NODE_CONFIG must name a JSON file with `listen` and `known`\n");
    return 1;
  }
  std::vector<std::string> targets;
  for (const auto& endpoint : config.at("known").at("endpoints")) {
    const bool is_cache_in_service =
        endpoint.value("type", "") != "origin" && endpoint.value("status", "") == "in_service";
    if (is_cache_in_service) targets.push_back(endpoint.value("address", ""));
  }
  return relay(config.at("listen").get<std::string>(), targets);
}

} // namespace fernward::rig
