// Unbuffered connected TCP socket on the Qt event loop.
#pragma once

#include <QSocketNotifier>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace hemlockdoor::wire {

/// Owns the descriptor of a connected socket. QTcpSocket is not used because,
/// when created from a descriptor, it buffers all incoming data even in
/// unbuffered mode: 64 clients that sent 8 MB each took 488 MB.
class ConnectedSocket {
 public:
  using Signal = std::function<void()>;

  /// Takes ownership of `descriptor`, makes it non-blocking and sets
  /// TCP_NODELAY.
  explicit ConnectedSocket(int descriptor);
  ~ConnectedSocket();
  ConnectedSocket(const ConnectedSocket&) = delete;
  ConnectedSocket& operator=(const ConnectedSocket&) = delete;

  /// Sets the callbacks and starts watching for input. `readable` runs when
  /// bytes can be read, `writable` when more can be written after a short
  /// write. Both may destroy this object.
  void Start(Signal readable, Signal writable);

  /// Outcome of one transfer.
  struct Transfer {
    std::size_t bytes = 0;
    /// The peer shut down its sending side, or the connection failed.
    bool closed = false;
  };
  /// Reads the available bytes, up to `max_bytes`. `readable` runs again only
  /// after a Read() that found no bytes.
  Transfer Read(char* target, std::size_t max_bytes);
  /// Writes as many bytes as the kernel accepts. After a short write,
  /// `writable` runs once the kernel accepts more.
  Transfer Write(const char* source, std::size_t count);
  /// Shuts down the sending side. The peer still receives everything written
  /// before, then the end of the stream.
  void ShutDownWriting();
  /// Closes the descriptor. No callback runs afterwards.
  void Close();

  /// Returns the IP address of the peer, or an empty text if it is unknown.
  std::string PeerAddress() const;
  /// Returns the context object for RunLater(). It lives as long as this
  /// object.
  QObject* Context() { return this->reads.get(); }

 private:
  /// Deletes a notifier through the event loop, because its own signal may be
  /// running.
  struct DeleteLater {
    void operator()(QObject* object) const { object->deleteLater(); }
  };
  using Notifier = std::unique_ptr<QSocketNotifier, DeleteLater>;

  int descriptor;
  Notifier reads;
  Notifier writes;
};

}  // namespace hemlockdoor::wire
