package handover

import (
	"ferryfront.example/ferryfront/internal/handover/pb"
	"ferryfront.example/ferryfront/internal/versions"
)

// EncodeDocuments makes messages of the active versions of each document, the oldest of each first.
func EncodeDocuments(active map[string][]versions.Doc) (list []*pb.Document) {
	for name, docs := range active {
		for _, doc := range docs {
			list = append(list, &pb.Document{Name: name, Number: doc.Number, Text: doc.Text})
		}
	}
	return list
}

// DecodeDocuments is the inverse of EncodeDocuments.
func DecodeDocuments(list []*pb.Document) map[string][]versions.Doc {
	active := map[string][]versions.Doc{}
	for _, m := range list {
		active[m.GetName()] = append(active[m.GetName()], versions.NewDoc(m.GetNumber(), m.GetText()))
	}
	return active
}
