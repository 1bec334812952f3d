package link

import (
	"errors"
	"net"
	"time"
)

// listenUDP starts to relay datagrams to the target, all from one socket: receivers identify the sender by the datagram's
// content, not by its address, and no answers are relayed back.
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

// relayDatagrams relays datagrams to the target until the link is closed.
func (l *Link) relayDatagrams(target *net.UDPAddr) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := l.udpConn.ReadFromUDP(buffer)
		if err != nil {
			if l.closed.Load() || errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an earlier datagram was refused by ICMP
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
