package link

import (
	"errors"
	"net"
	"time"
)

// listenUDP relays datagrams to the target, all from one socket: receivers know the sender by what a datagram holds, not by its
// address, and no answer goes back.
func (l *Link) listenUDP() error {
	local, err := net.ResolveUDPAddr("udp", l.addr)
	if err != nil {
		return err
	}
	target, err := net.ResolveUDPAddr("udp", l.target)
	if err != nil {
		return err
	}
	if l.udpConn, err = net.ListenUDP("udp", local); err != nil {
		return err
	}
	go l.relayDatagrams(target)
	return nil
}

// relayDatagrams runs until the link is closed.
func (l *Link) relayDatagrams(target *net.UDPAddr) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := l.udpConn.ReadFromUDP(buffer)
		if err != nil {
			if l.closed.Load() || errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP refusal of an earlier datagram
		}
		if l.outbound.dropsDatagram() {
			continue
		}
		datagram := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(time.Until(l.outbound.deliveryTime(n)), func() {
			if _, err := l.udpConn.WriteToUDP(datagram, target); err == nil {
				l.outbound.countBytes(n)
			}
		})
	}
}
