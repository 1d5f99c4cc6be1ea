#include "src/peer/peer.h"

#include <utility>

#include "src/peer/peer_loop.h"

namespace filbertshift {

PeerMesh::PeerMesh(const PeerMeshOptions& options,
                   CoreRing& core_ring,
                   const Clock& clock,
                   Random& random,
                   EventLog& log)
    : loop_(std::make_unique<PeerLoop>(options, core_ring, clock, random, log)),
      thread_([this] { loop_->Run(); }) {}

PeerMesh::~PeerMesh() {
  loop_->RequestStop();
  thread_.join();
}

void PeerMesh::Send(const InstanceId& to, PeerMessage message) {
  if (!to.empty()) {
    loop_->Submit(SendCommand{to, std::move(message)});
  }
}

void PeerMesh::Broadcast(PeerMessage message) {
  loop_->Submit(SendCommand{InstanceId(), std::move(message)});
}

void PeerMesh::SetPeers(std::vector<PeerAddress> peers) {
  loop_->SubmitPeers(std::move(peers));
}

std::string PeerMesh::BoundAddress() const {
  return loop_->bound_address();
}

}  // namespace filbertshift
