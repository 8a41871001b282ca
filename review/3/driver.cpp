// The old process of an upgrade ends while a request that it has read has no answer.
//
// Caches, an origin and discovery; one router, replaced under load by a second process as the platform does it:
// the new process says yes, the old one gets SIGTERM, and SIGKILL after the longest deadline and 0.7 s. Some
// clients are in the middle of a request then: they take up to 2 s for a head, or send a body at 64 kB a second.
// The disruption: the upgrade.
#include <algorithm>
#include <memory>
#include <set>

#include "standin.h"

namespace {

using namespace review;

constexpr double kTimeoutMs = 1500; // give_up, the longest deadline
constexpr double kKillAfterMs = kTimeoutMs + 700;
constexpr double kGraceMs = 500;       // an answer is lost if it comes later than this after its time
constexpr double kHeadMs = 1900;       // the pages allow 2 s
constexpr double kBodyBytesPerMs = 64; // the pages: 64 kB a second
constexpr double kLookupMs = 100, kBookingMs = 500; // work of a cache; of the origin for a write
constexpr int kQuickClients = 8, kSlowClients = 6, kUpgrades = 4;

// Requests that a router has read whole and sent on.
class Forwarded {
 public:
  void add(const std::string& id) {
    const std::lock_guard lock(mutex_);
    ids_.insert(id);
  }
  bool has(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return ids_.contains(id);
  }

 private:
  std::mutex mutex_;
  std::set<std::string> ids_;
};
Forwarded forwarded;

void serve_store(int fd, double work_ms, const std::string& name, Record& record) {
  Reader reader(fd);
  Message request;
  while (reader.read(request, now_ms() + 120000) == Read::Whole) {
    const std::string id = request.header("x-request-id");
    forwarded.add(id);
    record.line("%s: %s %s arrived", name.c_str(), request.word(0).c_str(), id.c_str());
    sleep_ms(work_ms);
    const bool written = write_all(fd, response(200, request.word(0) + " of " + id + "\n"));
    record.line("%s: %s done, answer %s", name.c_str(), id.c_str(), written ? "written" : "not written");
    if (!written) break;
  }
  close(fd);
}

struct Counts {
  std::atomic<int> answered = 0, lost = 0, unread = 0, quick_answered = 0, quick_lost = 0;
};

// A booking whose client is slow: its head or its body arrives in pieces over `duration_ms`.
void book_slowly(int port, const std::string& id, std::size_t body_bytes, double head_ms, Record& record,
                 Counts& counts) {
  const int fd = connect_to(port);
  if (fd < 0) return void(++counts.unread);
  const std::string head = "PUT /api/slot-" + id + " HTTP/1.1\r\nHost: r\r\nX-Request-ID: " + id +
                           "\r\nX-Timeout-Ms: 1500\r\nX-Priority-Class: book\r\nIdempotency-Key: key-" + id +
                           "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
  const double started_ms = now_ms();
  bool writable = true;
  const auto send_slowly = [&](const std::string& text, double duration_ms, std::size_t pieces) {
    const double from_ms = now_ms();
    const std::size_t piece_bytes = (text.size() + pieces - 1) / pieces;
    for (std::size_t at = 0, i = 1; at < text.size() && writable; at += piece_bytes, ++i) {
      writable = write_all(fd, std::string_view(text).substr(at, piece_bytes));
      if (i < pieces)
        sleep_until(from_ms + duration_ms * static_cast<double>(i) / static_cast<double>(pieces - 1));
    }
  };
  send_slowly(head, head_ms, 10);
  send_slowly(std::string(body_bytes, 'x'), static_cast<double>(body_bytes) / kBodyBytesPerMs, 40);
  const double sent_ms = now_ms();
  record.line("client: %s whole, %.0f ms after its first byte%s", id.c_str(), sent_ms - started_ms,
              writable ? "" : ", not written");
  Reader reader(fd);
  Message answer;
  const Read result = reader.read(answer, sent_ms + kTimeoutMs + kGraceMs);
  const double after_ms = now_ms() - sent_ms;
  if (result == Read::Whole) {
    ++counts.answered;
    record.line("client: %s answered with %d after %.0f ms", id.c_str(), answer.status(), after_ms);
  } else if (!forwarded.has(id)) {
    ++counts.unread;
    record.line("client: %s: connection ended before the request was read", id.c_str());
  } else {
    ++counts.lost;
    record.line("client: %s LOST: connection %s after %.0f ms, no answer", id.c_str(),
                result == Read::Late    ? "open, but no answer"
                : result == Read::Reset ? "reset"
                                        : "closed",
                after_ms);
  }
  close(fd);
}

// An ordinary client: look-ups on a kept connection. If its connection ends under a request that was perhaps not
// read, it sends it once more on a new one.
void look_up(int number, int port, const std::atomic<bool>& stop, Record& record, Counts& counts) {
  int fd = -1;
  std::unique_ptr<Reader> reader;
  for (int i = 0; !stop; ++i) {
    sleep_ms(100);
    const std::string id = "q" + std::to_string(number) + "-" + std::to_string(i);
    const std::string text = "GET /api/slot-" + std::to_string(i % 50) +
                             " HTTP/1.1\r\nHost: r\r\nX-Request-ID: " + id +
                             "\r\nX-Timeout-Ms: 1500\r\nX-Priority-Class: lookup\r\n\r\n";
    Read result = Read::End;
    Message answer;
    for (int attempt = 0; attempt < 2 && result != Read::Whole; ++attempt) {
      if (fd < 0) {
        fd = connect_to(port);
        reader = std::make_unique<Reader>(fd);
      }
      if (fd >= 0 && write_all(fd, text)) result = reader->read(answer, now_ms() + kTimeoutMs + kGraceMs);
      if (result == Read::Whole && answer.header("connection") != "close") break;
      close(fd);
      fd = -1;
    }
    ++(result == Read::Whole ? counts.quick_answered : counts.quick_lost);
    record.line("client: GET %s answered with %d", id.c_str(), result == Read::Whole ? answer.status() : 0);
  }
  close(fd);
}

} // namespace

int main(int argc, char** argv) {
  const Site site = read_site(argc, argv);
  Record record(site.folder + "/record.txt");
  record.line("trouble: %s", site.trouble ? "upgrades" : "none");
  Server cache_a([&record](int fd) { serve_store(fd, kLookupMs, "cache a", record); });
  Server cache_b([&record](int fd) { serve_store(fd, kLookupMs, "cache b", record); });
  Server origin([&record](int fd) { serve_store(fd, kBookingMs, "origin", record); });
  Discovery discovery({{"s-ca00000a", "cache", cache_a.port()},
                       {"s-ca00000b", "cache", cache_b.port()},
                       {"s-0419140f", "origin", origin.port()}});
  const int port = free_port();
  int control_port = free_port();
  auto process =
      std::make_unique<RouterProcess>(site, "router-0", port, control_port, discovery, settings_json());
  if (!wait_control_ready(control_port, 20000))
    finish(record, kCouldNotRun, "the router did not become ready");

  Counts counts;
  std::atomic<bool> stop = false;
  std::vector<std::thread> quick_clients;
  for (int i = 0; i < kQuickClients; ++i)
    quick_clients.emplace_back([&, i] { look_up(i, port, stop, record, counts); });
  sleep_ms(2000);
  for (int upgrade = 1; upgrade <= kUpgrades; ++upgrade) {
    const std::string name = "u" + std::to_string(upgrade);
    record.line("platform: %s", site.trouble ? "starts the new process" : "no upgrade");
    // Clients that are in the middle of a request as the upgrade begins.
    std::vector<std::thread> slow_clients;
    for (int i = 0; i < kSlowClients; ++i) {
      slow_clients.emplace_back([&, i] { // a slow head, a short body
        book_slowly(port, name + "-head" + std::to_string(i), 200 + static_cast<std::size_t>(i) * 6000,
                    kHeadMs, record, counts);
      });
      slow_clients.emplace_back([&, i] { // a head at once, 100 to 150 KB at 64 kB a second
        book_slowly(port, name + "-body" + std::to_string(i), 100000 + static_cast<std::size_t>(i) * 10000, 0,
                    record, counts);
      });
    }
    sleep_ms(50);
    std::unique_ptr<RouterProcess> next;
    double killed_at_ms = 0;
    if (site.trouble) {
      const int next_control_port = free_port();
      next = std::make_unique<RouterProcess>(site, "router-" + std::to_string(upgrade), port,
                                             next_control_port, discovery, settings_json());
      if (!wait_control_ready(next_control_port, 6000))
        finish(record, kCouldNotRun, "the new process did not become ready");
      record.line("platform: the new process said yes, SIGTERM to the old one");
      process->signal(SIGTERM);
      const double sigterm_ms = now_ms();
      killed_at_ms = process->wait_for_end(sigterm_ms + kKillAfterMs);
      record.line("platform: the old process %s %.0f ms after SIGTERM",
                  process->ended() ? "ended by itself" : "gets SIGKILL", killed_at_ms - sigterm_ms);
      process = std::move(next);
    }
    for (std::thread& client : slow_clients) client.join();
    sleep_ms(1000);
  }
  stop = true;
  for (std::thread& client : quick_clients) client.join();
  if (process->ended()) finish(record, kBroken, "the router ended");
  const std::string text = "slow clients: " + std::to_string(counts.answered) + " answered, " +
                           std::to_string(counts.lost) + " read and lost, " + std::to_string(counts.unread) +
                           " not read; others: " + std::to_string(counts.quick_answered) + " answered, " +
                           std::to_string(counts.quick_lost) + " lost";
  if (counts.answered + counts.lost + counts.unread == 0)
    finish(record, kCouldNotRun, "no slow client connected");
  finish(record, counts.lost + counts.quick_lost > 0 ? kBroken : kHeld, text);
}
