// fernward: a router before a fleet of cache nodes.
#include <event2/event.h>
#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>

#include "config/config.h"
#include "egress/pool.h"
#include "exchange/driver.h"
#include "ingress/listener.h"
#include "log/log.h"
#include "routes/table.h"
#include "routes/watch.h"

#ifndef FERNWARD_VERSION
#define FERNWARD_VERSION "unknown"
#endif

namespace {

using namespace fernward;

constexpr double kAcceptOnMs = 500;   // clients go on coming for this long after SIGTERM
constexpr double kFinishMs = 600;     // and what they brought gets this long beyond its deadline
constexpr std::size_t kReserved = 48; // descriptors for all but client and egress connections

struct BaseFree {
  void operator()(event_base* base) const { event_base_free(base); }
};
using BasePtr = std::unique_ptr<event_base, BaseFree>;

BasePtr make_base() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER); // deadlines of some milliseconds
  BasePtr base(event_base_new_with_config(config));
  event_config_free(config);
  if (base == nullptr) throw std::runtime_error("libevent: no event base");
  return base;
}

double longest_give_up(const brookroad::Settings& settings) {
  double longest = 0;
  for (const auto& cls : settings.classes) longest = std::max(longest, cls.give_up_ms);
  return longest > 0 ? longest : 3000;
}

// The program's parts, and what leads from one to the other.
class Router {
 public:
  explicit Router(const config::Config& config)
      : config_(config),
        base_(make_base()),
        deadlines_(base_.get()),
        table_(config.names.zones, config.names.kinds),
        driver_(base_.get(), deadlines_, brookroad::Balancer(config.settings, config.seed), config.settings,
                driver_options(config)),
        pool_(base_.get(), deadlines_, pool_options(config),
              [this](exchange::Handle attempt, exchange::Ending ending) {
                driver_.attempt_ended(attempt, std::move(ending));
              }),
        listener_(base_.get(), deadlines_, listener_options(config), config.names, config.settings,
                  listener_calls()) {
    driver_.attach(listener_, pool_);
    take_known();
    watch_ = std::make_unique<routes::Watch>(base_.get(), deadlines_, config.discovery,
                                             [this](const std::string& text) { return take(text); });
    for (const int number : {SIGTERM, SIGINT}) {
      signals_.emplace_back(evsignal_new(base_.get(), number, &Router::signalled, this));
      event_add(signals_.back().get(), nullptr);
    }
  }

  int run() {
    log::line("%s serves on %s, discovery at %s", config_.name.c_str(), config_.listen.c_str(),
              config_.discovery.c_str());
    event_base_dispatch(base_.get());
    log::line("%s ends: unanswered=%zu egress connections opened=%llu, log lines dropped=%llu",
              config_.name.c_str(), driver_.unanswered(), static_cast<unsigned long long>(pool_.opened()),
              static_cast<unsigned long long>(log::dropped()));
    return 0;
  }

 private:
  static exchange::DriverOptions driver_options(const config::Config& config) {
    return {config.limits.grace_to_answer_ms, static_cast<std::size_t>(config.limits.open_cap)};
  }
  static std::size_t connections(const config::Config& config) {
    return std::max<std::size_t>(config.sockets, kReserved + 16) - kReserved;
  }
  static egress::PoolOptions pool_options(const config::Config& config) {
    egress::PoolOptions options;
    options.connect_timeout_ms = config.limits.connect_timeout_ms;
    options.idle_ms = 0.7 * config.limits.conn_idle_ms; // well before the target closes it
    options.most = connections(config) * 2 / 5;
    options.report_fields = config.names.report_fields;
    return options;
  }
  static ingress::ListenerOptions listener_options(const config::Config& config) {
    ingress::ListenerOptions options;
    options.address = config.listen;
    options.most = connections(config) * 3 / 5;
    return options;
  }
  ingress::ListenerCalls listener_calls() {
    return {[this](exchange::Handle client, exchange::Call call) {
              return driver_.open(client, std::move(call));
            },
            [this](exchange::Handle exchange) { driver_.client_gone(exchange); },
            [this] { return table_.usable(); }, [this] { event_base_loopbreak(base_.get()); }};
  }

  void take_known() {
    if (config_.known.is_null()) return;
    try {
      auto list = table_.apply(config_.known);
      list.kind = brookroad::ListKind::Cached;
      spread(std::move(list));
    } catch (const routes::Damaged& damage) {
      log::line("known: the list is damaged, discovery will tell: %s", damage.what());
    }
  }
  std::uint64_t take(const std::string& text) {
    spread(table_.apply(text));
    return table_.index();
  }
  void spread(brookroad::ServerList list) {
    pool_.update(table_.targets());
    if (list.kind != brookroad::ListKind::Delta || !list.servers.empty()) driver_.list(std::move(list));
  }

  static void signalled(int, short, void* self) { static_cast<Router*>(self)->wind_down(); }
  void wind_down() {
    if (winding_down_) return;
    winding_down_ = true;
    log::line("%s winds down", config_.name.c_str());
    listener_.drain();
    const double now = exchange::now_ms();
    deadlines_.at(now + kAcceptOnMs, [this] { listener_.stop(); });
    deadlines_.at(now + longest_give_up(config_.settings) + kFinishMs,
                  [this] { event_base_loopbreak(base_.get()); });
  }

  const config::Config& config_;
  BasePtr base_;
  exchange::Deadlines deadlines_;
  routes::Table table_;
  exchange::Driver driver_;
  egress::Pool pool_;
  ingress::Listener listener_;
  std::unique_ptr<routes::Watch> watch_;
  std::vector<exchange::EventPtr> signals_;
  bool winding_down_ = false;
};

int serve(const config::Config& config) {
  signal(SIGPIPE, SIG_IGN);
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) == 0 && files.rlim_cur < config.sockets) {
    files.rlim_cur = std::min<rlim_t>(files.rlim_max, config.sockets);
    setrlimit(RLIMIT_NOFILE, &files);
  }
  return Router(config).run();
}

int usage(const std::string& help, const std::string& fault) {
  if (!fault.empty()) std::fprintf(stderr, "fernward: %s\n", fault.c_str());
  std::fprintf(fault.empty() ? stdout : stderr, "%s", help.c_str());
  return fault.empty() ? 0 : 2;
}

} // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("fernward", "A router before a fleet of cache nodes");
  options.add_options()("h,help", "Print this help")(
      "command", "serve: run the router; check-config: check NODE_CONFIG; version: print the version",
      cxxopts::value<std::string>());
  options.parse_positional({"command"});
  options.positional_help("serve | check-config | version");
  std::string command;
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) return usage(options.help(), "");
    if (!parsed.unmatched().empty())
      return usage(options.help(), "too many words: " + parsed.unmatched().front());
    if (parsed.count("command") == 0) return usage(options.help(), "no command");
    command = parsed["command"].as<std::string>();
  } catch (const std::exception& error) { // the base class of cxxopts' own has changed its name
    return usage(options.help(), error.what());
  }
  try {
    if (command == "version") {
      std::printf("fernward %s\n", FERNWARD_VERSION);
      return 0;
    }
    if (command == "serve")
      return serve(config::load([](const char* name) -> const char* { return std::getenv(name); }));
    if (command == "check-config") {
      const config::Config config =
          config::load([](const char* name) -> const char* { return std::getenv(name); });
      std::printf("%s: sound\n", config.name.c_str());
      return 0;
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fernward: %s\n", error.what());
    return 1;
  }
  return usage(options.help(), "unknown command: " + command);
}
