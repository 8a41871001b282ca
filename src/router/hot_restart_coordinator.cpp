#include "router/hot_restart_coordinator.h"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "config/config.h"
#include "log/log.h"

namespace fernward::router {

using hot_restart::Channel;
using hot_restart::Descriptor;
using loop::now_ms;

namespace {

constexpr double kHelloMs = 2000; // for a new process to say who it is
constexpr double kSpareMs = 50;   // while winding down, places that are free go to the new process this often
constexpr std::uint64_t kKeptFree = 8; // of them, for attempts that are still to be made

} // namespace

HotRestartCoordinator::HotRestartCoordinator(HotRestartParts parts, HotRestartOptions options,
                                             hot_restart::Inherited* from)
    : parts_(std::move(parts)),
      options_(std::move(options)),
      memory_mb_(options_.memory_mb),
      had_places_(options_.places),
      had_memory_mb_(options_.memory_mb) {
  if (from != nullptr) {
    const hot_restart::Share& share = from->welcome.share;
    had_places_ = std::min(share.places, options_.places);
    had_memory_mb_ = std::min(share.memory_mb, options_.memory_mb);
    parts_.account.limit(0);
    memory_mb_ = 0;
    take(had_places_, had_memory_mb_);
    before_ = std::make_unique<Channel>(
        parts_.base, std::move(from->channel),
        [this](hot_restart::Message message, Descriptor beside) {
          from_before(std::move(message), std::move(beside));
        },
        [this](const std::string& why) { before_ended(why); }, std::move(from->rest));
    log::line("handover-taken", {{"places", had_places_}, {"memory_mb", had_memory_mb_}});
  }
  open_door();
}

HotRestartCoordinator::~HotRestartCoordinator() {
  for (auto* ticket : {&patience_, &spare_, &clear_}) parts_.deadlines.cancel(*ticket);
}

void HotRestartCoordinator::open_door() {
  door_.reset();
  if (options_.path.empty()) return;
  try {
    door_ = std::make_unique<hot_restart::Door>(parts_.base, options_.path,
                                                [this](Descriptor socket) { came(std::move(socket)); });
  } catch (const std::runtime_error& fault) {
    // This process serves all the same; the next one shares the port.
    log::line("handover-off", {{"why", fault.what()}});
  }
}

std::uint64_t HotRestartCoordinator::used() const {
  return parts_.account.used(descriptors::Side::Clients) + parts_.account.used(descriptors::Side::Targets);
}

// More places, and more memory.
void HotRestartCoordinator::take(std::uint64_t places, std::uint64_t memory_mb) {
  parts_.account.limit(parts_.account.total() + places);
  if (memory_mb == 0) return;
  memory_mb_ += memory_mb;
  parts_.buffers.limit(config::buffer_bytes(memory_mb_));
  parts_.bytes.set_total(config::body_bytes(memory_mb_));
}

// ---- the old process ----

void HotRestartCoordinator::came(Descriptor socket) {
  if ((next_ != nullptr && !next_->ended()) || winding_down_) {
    return log::line("handover-refused", {{"why", winding_down_ ? "winding down" : "one is under way"}});
  }
  parts_.deadlines.cancel(clear_);
  welcomed_ = serving_ = false;
  next_ = std::make_unique<Channel>(
      parts_.base, std::move(socket),
      [this](hot_restart::Message message, Descriptor beside) {
        from_next(std::move(message), std::move(beside));
      },
      [this](const std::string& why) { next_ended(why); });
  parts_.deadlines.cancel(patience_);
  patience_ = parts_.deadlines.at(now_ms() + kHelloMs, [this] {
    patience_ = 0;
    if (!welcomed_) next_.reset();
  });
}

// Not at once: the caller is the channel's own.
void HotRestartCoordinator::drop_next() {
  parts_.deadlines.cancel(clear_);
  clear_ = parts_.deadlines.at(now_ms(), [this] {
    clear_ = 0;
    next_.reset();
  });
}

void HotRestartCoordinator::from_next(hot_restart::Message message, Descriptor) {
  if (const auto* hello = std::get_if<hot_restart::Hello>(&message)) {
    if (!welcomed_) welcome(*hello);
  } else if (!welcomed_) {
    drop_next();
  } else if (std::holds_alternative<hot_restart::Serving>(message)) {
    serving_ = true;
    if (winding_down_) return;
    parts_.listener.hold(true); // both accept from one queue: it is all the new one's now
    log::line("handover-serving", {{"name", options_.name}});
  } else if (const auto* asked = std::get_if<hot_restart::Asked>(&message)) {
    adopt(asked->what);
  }
}

void HotRestartCoordinator::welcome(const hot_restart::Hello& hello) {
  const int listening = parts_.listener.listening();
  Descriptor beside(listening < 0 ? -1 : fcntl(listening, F_DUPFD_CLOEXEC, 0));
  if (hello.listen != options_.listen || !beside) {
    log::line("handover-refused",
              {{"why", beside ? "another address: " + hello.listen : std::strerror(errno)}});
    return drop_next();
  }
  const hot_restart::Share whole{parts_.account.total(), memory_mb_};
  const hot_restart::Split shares = hot_restart::split(whole, used(), hello.reserved);
  given_places_ = whole.places - shares.old.places;
  given_memory_mb_ = shares.next.memory_mb;
  parts_.account.limit(shares.old.places);
  memory_mb_ = 0;
  take(0, shares.old.memory_mb);
  while (used() > shares.old.places && parts_.pool.let_go("handover")) {}
  welcomed_ = true;
  const std::string list = parts_.table.index() == 0 ? "" : parts_.table.told();
  next_->send(hot_restart::Welcome{list, parts_.bans.all(), shares.next}, std::move(beside));
  log::line("handover-welcome",
            {{"name", hello.name}, {"places", shares.next.places}, {"kept", shares.old.places}});
}

void HotRestartCoordinator::next_ended(const std::string& why) {
  const bool welcomed = std::exchange(welcomed_, false);
  serving_ = false;
  drop_next();
  if (!why.empty()) log::line("handover-damaged", {{"why", why}});
  if (winding_down_) return parts_.listener.pass_no_more();
  if (!welcomed) return;
  log::line("handover-given-up",
            {{"name", options_.name}}); // it died: this process serves on, with all there is
  take(std::exchange(given_places_, 0), std::exchange(given_memory_mb_, 0));
  parts_.listener.hold(false);
  open_door(); // the path was the other's
}

bool HotRestartCoordinator::wind_down() {
  // The signal may be seen before what the new one said first.
  if (next_ != nullptr && !next_->ended()) next_->look();
  winding_down_ = true;
  door_.reset();
  if (!replaced()) return false;
  log::line("handover-passes", {{"name", options_.name}, {"connections", parts_.listener.connections()}});
  give_spare();
  parts_.listener.hand_over([this](int fd, unsigned requests) {
    if (!replaced()) return false;
    next_->send(hot_restart::Client{requests}, Descriptor(fd));
    parts_.account.limit(parts_.account.total() -
                         std::min<std::size_t>(1, parts_.account.total())); // its place goes along
    return true;
  });
  return true;
}

void HotRestartCoordinator::give_spare() {
  if (!replaced()) return;
  const std::uint64_t total = parts_.account.total(), needed = used() + kKeptFree;
  if (total > needed) {
    parts_.account.limit(needed);
    next_->send(hot_restart::Places{total - needed});
  }
  spare_ = parts_.deadlines.at(now_ms() + kSpareMs, [this] {
    spare_ = 0;
    give_spare();
  });
}

bool HotRestartCoordinator::idle() const { return next_ == nullptr || next_->ended() || next_->idle(); }

// ---- the new process ----

void HotRestartCoordinator::began() {
  if (told_ || !replaces() || !parts_.serves()) return;
  told_ = true;
  before_->send(hot_restart::Serving{});
}

void HotRestartCoordinator::from_before(hot_restart::Message message, Descriptor beside) {
  if (const auto* client = std::get_if<hot_restart::Client>(&message)) {
    // Of a process with a larger limit more may come than this one has places for: its own limit holds.
    if (had_places_ < options_.places) {
      ++had_places_;
      take(1, 0);
    }
    parts_.listener.adopt(beside.release(), client->requests);
  } else if (const auto* places = std::get_if<hot_restart::Places>(&message)) {
    const std::uint64_t more =
        std::min(places->more, options_.places - std::min(options_.places, had_places_));
    had_places_ += more;
    take(more, 0);
  } else if (const auto* asked = std::get_if<hot_restart::Asked>(&message)) {
    adopt(asked->what);
  }
}

void HotRestartCoordinator::before_ended(const std::string& why) {
  if (!why.empty()) log::line("handover-damaged", {{"why", why}});
  log::line("handover-done", {{"name", options_.name}});
  take(options_.places - std::min(options_.places, std::exchange(had_places_, options_.places)),
       options_.memory_mb - std::exchange(had_memory_mb_, options_.memory_mb));
}

// What the operators asked of the other process holds here too.
void HotRestartCoordinator::adopt(const admin_overrides::EndpointOverrides::Known& what) {
  parts_.bans.adopt(what);
  parts_.relist(what.name);
}

void HotRestartCoordinator::asked(const admin_overrides::EndpointOverrides::Known& what) {
  if (replaces()) before_->send(hot_restart::Asked{what});
  if (next_ != nullptr && !next_->ended() && welcomed_) next_->send(hot_restart::Asked{what});
}

} // namespace fernward::router
