// Minimal embedding of the balancer: one endpoint list, one request and its response. Exits with a non-zero
// code if the balancer does not send the request to a server.
#include <cstdio>
#include <variant>
#include <vector>

#include "fernward/balancer.h"

int main() {
  using namespace fernward;
  Settings settings;
  ClassSettings reads;
  reads.latency_objective_ms = 200;
  reads.client_timeout_ms = 1000;
  reads.idempotency = Idempotency::Idempotent;
  settings.classes = {reads};
  settings.max_attempts = 3;

  Balancer balancer(settings, 1);
  std::vector<Action> actions;
  double now = 1000; // the embedding program's clock, in milliseconds

  EndpointList list;
  for (ServerId id = 1; id <= 4; ++id) {
    Server cache;
    cache.id = id;
    list.servers.push_back(cache);
  }
  balancer.on_event(now, list, actions);

  Request request;
  request.id = 1;
  request.key = 42;
  request.deadline = now + 900;
  balancer.on_event(now, request, actions);

  for (const Action& action : actions) {
    const auto* send = std::get_if<Send>(&action);
    if (send == nullptr) continue;
    std::printf("request %llu goes to cache %u\n", static_cast<unsigned long long>(send->id), send->server);
    AttemptOutcome answer; // the report that follows the response of the cache
    answer.id = send->id;
    answer.server = send->server;
    answer.elapsed_ms = 12;
    answer.request_ended = true;
    std::vector<Action> more;
    balancer.on_event(now + 12, answer, more);
    return 0;
  }
  return 1;
}
